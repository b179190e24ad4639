package mulleinlever.sidecar;

import mulleinlever.settings.InvalidInputException;

/** Puts JSON objects together from lines: one may take a single line or, indented, many. */
final class JsonObjectAssembler {
    private final int maxLength;
    private final StringBuilder partialObject = new StringBuilder();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /**
     * @param maxLength characters of an object at most
     */
    JsonObjectAssembler(int maxLength) {
        this.maxLength = maxLength;
    }

    /**
     * Takes the next line.
     *
     * @return the object that ends with this line, a blank text for a blank line between objects,
     *     or null within one
     * @throws InvalidInputException where the object is longer than allowed
     */
    String addLine(String line) {
        for (int i = 0; i < line.length(); i++) {
            updateNesting(line.charAt(i));
        }
        if (depth <= 0 && partialObject.isEmpty()) {
            depth = 0;
            return line;
        }
        if (partialObject.length() + line.length() > maxLength) {
            throw new InvalidInputException("an object longer than " + maxLength);
        }
        partialObject.append(line).append('\n');
        if (depth > 0) {
            return null;
        }
        String object = partialObject.toString();
        partialObject.setLength(0);
        partialObject.trimToSize();
        return object;
    }

    private void updateNesting(char c) {
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
            return;
        }
        switch (c) {
            case '"' -> inString = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
    }
}
