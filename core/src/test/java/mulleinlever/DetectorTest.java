package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DetectorTest {
    @Test
    void longTermMeanAndDeviationFollowDesignFormula() {
        var d = new Policy.DegradationDetector(0, 0);
        d.updateLongTerm(0.1, 0.02);
        assertEquals(0.1, d.longTermMean, 1e-12);
        assertEquals(0, d.longTermDeviation, 1e-12);
        d.updateLongTerm(0.3, 0.02);
        assertEquals(0.2, d.longTermMean, 1e-12);
        assertEquals(Math.sqrt(0.5 * 0.1 * 0.1), d.longTermDeviation, 1e-12);
    }

    @Test
    void stateChangesAtConfiguredDeviations() {
        var d = new Policy.DegradationDetector(0, 0);
        d.updateLongTerm(0.0, 0.02);
        // With the floor of 0.02: suspect above 0.05, alarm above 0.09, clear below 0.01.
        d.evaluate(0.12, 10_000, true);
        assertEquals(Policy.DetectorState.SUSPECT, d.state);
        d.evaluate(0.16, 10_000, true);
        assertEquals(0.11, d.shortTermMean, 1e-12);
        assertEquals(Policy.DetectorState.ALARM, d.state);
        d.evaluate(0.0, 10_000, true);
        d.evaluate(0.0, 10_000, true);
        assertEquals(Policy.DetectorState.ALARM, d.state);
        d.evaluate(0.0, 10_000, true);
        d.evaluate(0.0, 10_000, true);
        assertEquals(Policy.DetectorState.NORMAL, d.state);
    }
}
