package mulleinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks the averages and the state changes of a detector against values computed by hand. */
class DetectorTest {
    @Test
    void longTermMeanAndDeviationFollowSamples() {
        var detector = new Policy.DegradationDetector(0, 0);
        detector.updateLongTerm(0.1, 0.02);
        assertEquals(0.1, detector.longTermMean, 1e-12);
        assertEquals(0, detector.longTermDeviation, 1e-12);
        detector.updateLongTerm(0.3, 0.02);
        assertEquals(0.2, detector.longTermMean, 1e-12);
        assertEquals(Math.sqrt(0.5 * 0.1 * 0.1), detector.longTermDeviation, 1e-12);
    }

    @Test
    void stateChangesAtConfiguredDeviations() {
        var detector = new Policy.DegradationDetector(0, 0);
        detector.updateLongTerm(0.0, 0.02);
        // With the minimum deviation of 0.02, the detector is suspicious above 0.05, raises an
        // alarm above 0.09 and clears it below 0.01.
        detector.evaluate(0.12, 10_000, true);
        assertEquals(Policy.DetectorState.SUSPECT, detector.state);
        detector.evaluate(0.16, 10_000, true);
        assertEquals(0.11, detector.shortTermMean, 1e-12);
        assertEquals(Policy.DetectorState.ALARM, detector.state);
        detector.evaluate(0.0, 10_000, true);
        detector.evaluate(0.0, 10_000, true);
        assertEquals(Policy.DetectorState.ALARM, detector.state);
        detector.evaluate(0.0, 10_000, true);
        detector.evaluate(0.0, 10_000, true);
        assertEquals(Policy.DetectorState.NORMAL, detector.state);
    }
}
