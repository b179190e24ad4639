package mulleinlever.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.stream.IntStream;

/** The known name that a misspelt one was most likely meant to be. */
final class SpellingSuggestion {
    private SpellingSuggestion() {}

    /** Words to put behind a fault; none where nothing known is near. */
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

    /** How many letters are to be put in, taken out or exchanged (Levenshtein's distance). */
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
