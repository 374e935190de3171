package io.cranberryarch.bench;

import java.util.ArrayList;
import java.util.List;

/** A straight line through measured points, by least squares. */
final class LinearRegression {

    private final List<double[]> points = new ArrayList<>();

    void add(double x, double y) {
        points.add(new double[] {x, y});
    }

    /** Extends the line, but not below the last point: noise in small figures must not hide a bound. */
    double extrapolate(double x) {
        double meanX = points.stream().mapToDouble(point -> point[0]).average().orElse(0);
        double meanY = points.stream().mapToDouble(point -> point[1]).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (double[] point : points) {
            covariance += (point[0] - meanX) * (point[1] - meanY);
            variance += (point[0] - meanX) * (point[0] - meanX);
        }
        double line = variance == 0 ? meanY : meanY + covariance / variance * (x - meanX);
        return Math.max(line, points.isEmpty() ? 0 : points.get(points.size() - 1)[1]);
    }
}
