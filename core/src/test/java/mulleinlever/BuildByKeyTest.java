package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the memory of one-way keys. */
class BuildByKeyTest {
    private static final int MAX_KEYS = 100;

    // Each new key was kept for ever, so that memory grew under ever new ones.
    @Test
    void oldestKeysAreDroppedAboveTheLimit() {
        BuildByKey buildByKey = new BuildByKey();
        buildByKey.limitKeys(MAX_KEYS);
        int keyCount = 10 * MAX_KEYS + 7;
        for (int key = 0; key < keyCount; key++) {
            buildByKey.recordAnswer(key, key + 1);
        }
        assertEquals(MAX_KEYS, buildByKey.toLearned().count());
        for (int key = 0; key < keyCount; key++) {
            int expected = key < keyCount - MAX_KEYS ? 0 : key + 1;
            assertEquals(expected, buildByKey.newestBuildOf(key));
        }
    }
}
