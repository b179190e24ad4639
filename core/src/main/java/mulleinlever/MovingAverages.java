package mulleinlever;

/** The design's moving averages: the long-term one with its deviation, and the short-term one. */
class MovingAverages {
    double longTermMean;
    double longTermDeviation;
    double shortTermMean;
    double sampleCount;

    MovingAverages(double mean, double sampleCount) {
        this.longTermMean = mean;
        this.sampleCount = sampleCount;
    }

    LearnedState.DetectorBaseline toBaseline(int build, String route, boolean forLateness) {
        return new LearnedState.DetectorBaseline(
                build, route, forLateness, longTermMean, longTermDeviation, sampleCount);
    }

    /** Takes a remembered pair, as learned from so many samples at most, or as many as before. */
    void restore(LearnedState.DetectorBaseline baseline, double maxSampleCount) {
        longTermMean = baseline.mean();
        longTermDeviation = baseline.deviation();
        shortTermMean = longTermMean;
        sampleCount = Math.max(sampleCount, Math.min(maxSampleCount, baseline.samples()));
    }

    /** Takes a sample into the long-term pair, with a greater weight while there are few. */
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

    /** How many deviations the short-term average lies above the long-term one. */
    double deviationsAboveMean(double minDeviation) {
        return (shortTermMean - longTermMean) / Math.max(longTermDeviation, minDeviation);
    }
}
