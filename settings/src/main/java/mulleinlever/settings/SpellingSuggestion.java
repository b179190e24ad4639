package mulleinlever.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.stream.IntStream;

/** Suggests the known name that is closest to a misspelled one, for error messages. */
final class SpellingSuggestion {
    private SpellingSuggestion() {}

    /**
     * Returns the text to append to an error message, such as "; did you mean every?". It is empty
     * if every known name differs by more than two letters and by more than a third of the
     * misspelled name. Of equally close names the first in alphabetical order is suggested.
     */
    static String suggestionSuffix(String misspelled, Collection<String> known) {
        return known.stream()
                .filter(
                        k ->
                                levenshteinDistance(misspelled, k)
                                        <= Math.max(2, misspelled.length() / 3))
                .min(
                        Comparator.comparingInt((String k) -> levenshteinDistance(misspelled, k))
                                .thenComparing(k -> k))
                .map(k -> "; did you mean " + k + "?")
                .orElse("");
    }

    /**
     * Returns the Levenshtein distance: the minimum number of letters to insert, delete or replace
     * to turn one text into the other.
     */
    static int levenshteinDistance(String from, String to) {
        int[] distances = IntStream.rangeClosed(0, to.length()).toArray();
        for (int i = 1; i <= from.length(); i++) {
            int diagonal = distances[0];
            distances[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int substituted = diagonal + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
                diagonal = distances[j];
                distances[j] = Math.min(substituted, Math.min(distances[j], distances[j - 1]) + 1);
            }
        }
        return distances[to.length()];
    }
}
