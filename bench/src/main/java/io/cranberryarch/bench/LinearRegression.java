package io.cranberryarch.bench;

import java.util.ArrayList;
import java.util.List;

/** Fits a straight line to measured points by the method of least squares. */
final class LinearRegression {

    private final List<double[]> points = new ArrayList<>();

    void add(double x, double y) {
        points.add(new double[] {x, y});
    }

    /**
     * Returns the value of the line at {@code x}, but at least that of the last point, so that noise in small values
     * cannot hide an exceeded bound.
     */
    double extrapolate(double x) {
        double meanX = points.stream().mapToDouble(point -> point[0]).average().orElse(0);
        double meanY = points.stream().mapToDouble(point -> point[1]).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (double[] point : points) {
            covariance += (point[0] - meanX) * (point[1] - meanY);
            variance += (point[0] - meanX) * (point[0] - meanX);
        }
        double predicted = variance == 0 ? meanY : meanY + covariance / variance * (x - meanX);
        return Math.max(predicted, points.isEmpty() ? 0 : points.get(points.size() - 1)[1]);
    }
}
