package mulleinlever;

/** The design's moving averages: the long-term one with its deviation, and the short-term one. */
class MovingAverages {
    double longTermMean;
    double longTermDeviation;
    double shortTermMean;
    double sampleCount;

    MovingAverages(double mean, double samples) {
        this.longTermMean = mean;
        this.sampleCount = samples;
    }

    LearnedState.DetectorBaseline toBaseline(int build, String route, boolean ofLate) {
        return new LearnedState.DetectorBaseline(
                build, route, ofLate, longTermMean, longTermDeviation, sampleCount);
    }

    /** Takes a remembered pair, as learned from so many samples at most, or as many as before. */
    void restore(LearnedState.DetectorBaseline was, double most) {
        longTermMean = was.mean();
        longTermDeviation = was.deviation();
        shortTermMean = longTermMean;
        sampleCount = Math.max(sampleCount, Math.min(most, was.samples()));
    }

    /** Takes a sample into the long-term pair, with a greater weight while there are few. */
    void updateLongTerm(double sample, double weight) {
        double w = Math.max(weight, 1.0 / ++sampleCount);
        longTermMean = w * sample + (1 - w) * longTermMean;
        longTermDeviation =
                Math.sqrt(
                        w * (sample - longTermMean) * (sample - longTermMean)
                                + (1 - w) * longTermDeviation * longTermDeviation);
    }

    void updateShortTerm(double sample, double weight) {
        shortTermMean = weight * sample + (1 - weight) * shortTermMean;
    }

    /** How many deviations the short-term average lies above the long-term one. */
    double deviationsAboveMean(double floor) {
        return (shortTermMean - longTermMean) / Math.max(longTermDeviation, floor);
    }
}
