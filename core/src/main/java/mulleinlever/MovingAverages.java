package mulleinlever;

/** The design's moving averages: the long-term one with its deviation, and the short-term one. */
class MovingAverages {
    double mean;
    double deviation;
    double recent;
    double samples;

    MovingAverages(double mean, double samples) {
        this.mean = mean;
        this.samples = samples;
    }

    LearnedState.DetectorBaseline learned(int build, String route, boolean ofLate) {
        return new LearnedState.DetectorBaseline(build, route, ofLate, mean, deviation, samples);
    }

    /** Takes a remembered pair, as learned from so many samples at most, or as many as before. */
    void recall(LearnedState.DetectorBaseline was, double most) {
        mean = was.mean();
        deviation = was.deviation();
        recent = mean;
        samples = Math.max(samples, Math.min(most, was.samples()));
    }

    /** Takes a sample into the long-term pair, with a greater weight while there are few. */
    void learn(double sample, double weight) {
        double w = Math.max(weight, 1.0 / ++samples);
        mean = w * sample + (1 - w) * mean;
        deviation =
                Math.sqrt(w * (sample - mean) * (sample - mean) + (1 - w) * deviation * deviation);
    }

    void follow(double sample, double weight) {
        recent = weight * sample + (1 - weight) * recent;
    }

    /** How many deviations the short-term average lies above the long-term one. */
    double above(double floor) {
        return (recent - mean) / Math.max(deviation, floor);
    }
}
