package trailthread.configuration;

import java.util.Collection;

/**
 * Finds the known word that a misspelt one probably stands for, by the edit distance of
 * Levenshtein, "Binary codes capable of correcting deletions, insertions, and reversals", 1966.
 */
public final class Nearest {
    private Nearest() {}

    /**
     * The known word that is nearest, or null if none is near. Near means a distance of at most 2,
     * or of a third of the longer word.
     */
    public static String of(String word, Collection<String> known) {
        String nearest = null;
        int leastDistance = Integer.MAX_VALUE;
        for (String candidate : known) {
            int distance = distance(word, candidate);
            if (distance < leastDistance && distance <= maxDistance(word, candidate)) {
                leastDistance = distance;
                nearest = candidate;
            }
        }
        return nearest;
    }

    private static int maxDistance(String word, String candidate) {
        return Math.max(2, Math.max(word.length(), candidate.length()) / 3);
    }

    /** The number of letters to insert, remove or replace to turn one word into the other. */
    static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replaced = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
