package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the hash function with values that its authors publish. */
class SipHashTest {
    private static byte[] bytesUpTo(int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) i;
        }
        return bytes;
    }

    @Test
    void publishedValuesAreComputed() {
        SipHash hash = new SipHash(0x0706050403020100L, 0x0f0e0d0c0b0a0908L);
        assertEquals(0x726fdb47dd0e0e31L, hash.hash(bytesUpTo(0)));
        assertEquals(0x93f5f5799a932462L, hash.hash(bytesUpTo(8)));
        assertEquals(0xa129ca6149be45e5L, hash.hash(bytesUpTo(15)));
    }
}
