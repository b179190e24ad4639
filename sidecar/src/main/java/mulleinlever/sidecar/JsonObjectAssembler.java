package mulleinlever.sidecar;

import mulleinlever.settings.InvalidInputException;

/**
 * Assembles JSON objects from lines. An object takes a single line or, if it is indented, several.
 */
final class JsonObjectAssembler {
    private final int maxLength;
    private final StringBuilder partialObject = new StringBuilder();

    /** The number of objects and arrays that are open at the end of the last line. */
    private int depth;

    private boolean inString;
    private boolean escaped;

    /**
     * @param maxLength the maximum length of an object, in characters
     */
    JsonObjectAssembler(int maxLength) {
        this.maxLength = maxLength;
    }

    /**
     * Adds the next line.
     *
     * @return the object that ends with this line, the line itself if it is outside of any object
     *     (such as a blank line), or null if the object is incomplete
     * @throws InvalidInputException if the object is longer than allowed
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
            throw new InvalidInputException(
                    "JSON object too long; the maximum number of characters is " + maxLength);
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
