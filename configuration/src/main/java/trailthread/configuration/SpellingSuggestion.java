package trailthread.configuration;

import java.util.Collection;

/**
 * Suggests the known word that a misspelt word probably stands for, by the edit distance of
 * Levenshtein, "Binary codes capable of correcting deletions, insertions, and reversals", 1966.
 */
public final class SpellingSuggestion {
    private SpellingSuggestion() {}

    /**
     * The known word with the smallest edit distance, or null if every distance exceeds both 2 and
     * a third of the longer word's length.
     */
    public static String find(String word, Collection<String> knownWords) {
        String closest = null;
        int leastDistance = Integer.MAX_VALUE;
        for (String candidate : knownWords) {
            int distance = editDistance(word, candidate);
            if (distance < leastDistance && distance <= maxDistance(word, candidate)) {
                leastDistance = distance;
                closest = candidate;
            }
        }
        return closest;
    }

    private static int maxDistance(String word, String candidate) {
        return Math.max(2, Math.max(word.length(), candidate.length()) / 3);
    }

    /** The number of characters to insert, remove or replace to turn one word into the other. */
    static int editDistance(String first, String second) {
        int[] row = new int[second.length() + 1];
        for (int j = 0; j <= second.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= second.length(); j++) {
                int replaced = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[second.length()];
    }
}
