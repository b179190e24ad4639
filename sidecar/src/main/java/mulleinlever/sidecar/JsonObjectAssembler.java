package mulleinlever.sidecar;

import mulleinlever.settings.InvalidInputException;

/** Puts JSON objects together from lines: one may take a single line or, indented, many. */
final class JsonObjectAssembler {
    private final int longest;
    private final StringBuilder begun = new StringBuilder();
    private int depth;
    private boolean quoted;
    private boolean escaped;

    /**
     * @param longest characters of an object at most
     */
    JsonObjectAssembler(int longest) {
        this.longest = longest;
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
            look(line.charAt(i));
        }
        if (depth <= 0 && begun.isEmpty()) {
            depth = 0;
            return line;
        }
        if (begun.length() + line.length() > longest) {
            throw new InvalidInputException("an object longer than " + longest);
        }
        begun.append(line).append('\n');
        if (depth > 0) {
            return null;
        }
        String whole = begun.toString();
        begun.setLength(0);
        begun.trimToSize();
        return whole;
    }

    private void look(char c) {
        if (quoted) {
            quoted = escaped || c != '"';
            escaped = !escaped && c == '\\';
            return;
        }
        switch (c) {
            case '"' -> quoted = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
    }
}
