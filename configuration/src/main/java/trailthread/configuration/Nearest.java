package trailthread.configuration;

import java.util.Collection;

/**
 * Finds what was probably meant (Levenshtein, "Binary codes capable of correcting deletions...",
 * 1966).
 */
public final class Nearest {
    private Nearest() {}

    /**
     * The known word that is nearest, or null if none is near: within two letters, or a third of
     * them.
     */
    public static String of(String word, Collection<String> known) {
        String nearest = null;
        int least = Integer.MAX_VALUE;
        for (String candidate : known) {
            int distance = distance(word, candidate);
            if (distance < least
                    && distance <= Math.max(2, Math.max(word.length(), candidate.length()) / 3)) {
                least = distance;
                nearest = candidate;
            }
        }
        return nearest;
    }

    static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int changed = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(changed, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
