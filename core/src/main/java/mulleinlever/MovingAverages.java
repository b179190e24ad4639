package mulleinlever;

/**
 * The moving averages of a degradation detector: a long-term mean with its deviation, and a
 * short-term mean. Used by {@link Policy} on the event loop.
 */
class MovingAverages {
    double longTermMean;
    double longTermDeviation;
    double shortTermMean;

    /** The number of samples in the long-term mean. */
    double sampleCount;

    MovingAverages(double mean, double sampleCount) {
        this.longTermMean = mean;
        this.sampleCount = sampleCount;
    }

    LearnedState.DetectorBaseline toBaseline(int build, String route, boolean forLateness) {
        return new LearnedState.DetectorBaseline(
                build, route, forLateness, longTermMean, longTermDeviation, sampleCount);
    }

    /**
     * Restores the long-term mean and deviation; the short-term mean becomes the long-term one. The
     * sample count is raised to the remembered one, or to {@code maxSampleCount} if that is less.
     */
    void restore(LearnedState.DetectorBaseline baseline, double maxSampleCount) {
        longTermMean = baseline.mean();
        longTermDeviation = baseline.deviation();
        shortTermMean = longTermMean;
        sampleCount = Math.max(sampleCount, Math.min(maxSampleCount, baseline.samples()));
    }

    /**
     * Adds a sample to the long-term mean and deviation, with a greater weight while there are few
     * samples.
     */
    void updateLongTerm(double sample, double weight) {
        double effectiveWeight = Math.max(weight, 1.0 / ++sampleCount);
        longTermMean = effectiveWeight * sample + (1 - effectiveWeight) * longTermMean;
        longTermDeviation =
                Math.sqrt(
                        effectiveWeight * (sample - longTermMean) * (sample - longTermMean)
                                + (1 - effectiveWeight) * longTermDeviation * longTermDeviation);
    }

    void updateShortTerm(double sample, double weight) {
        shortTermMean = weight * sample + (1 - weight) * shortTermMean;
    }

    /**
     * Returns by how many long-term deviations the short-term mean exceeds the long-term one.
     *
     * @param minDeviation used in place of a smaller deviation
     */
    double deviationsAboveMean(double minDeviation) {
        return (shortTermMean - longTermMean) / Math.max(longTermDeviation, minDeviation);
    }
}
