#include "lab/scale/line.hpp"

#include <algorithm>
#include <cmath>

namespace marblewood::lab::scale {

Line fit(const std::vector<Point> &points) {
    Line line;
    line.points = static_cast<int>(points.size());
    if (points.empty())
        return line;
    const double n = static_cast<double>(points.size());
    double mean_x = 0, mean_y = 0;
    line.least = line.most = points.front().x;
    for (const Point &point : points) {
        mean_x += point.x / n;
        mean_y += point.y / n;
        line.least = std::min(line.least, point.x);
        line.most = std::max(line.most, point.x);
    }
    double xx = 0, xy = 0;
    for (const Point &point : points) {
        xx += (point.x - mean_x) * (point.x - mean_x);
        xy += (point.x - mean_x) * (point.y - mean_y);
    }
    if (xx <= 0)
        return line;
    line.slope = xy / xx;
    line.intercept = mean_y - line.slope * mean_x;
    if (points.size() <= 2)
        return line;
    double squares = 0;
    for (const Point &point : points)
        squares += std::pow(point.y - line.at(point.x), 2);
    line.residual = std::sqrt(squares / (n - 2));
    line.slope_error = line.residual / std::sqrt(xx);
    line.intercept_error = line.residual * std::sqrt(1 / n + mean_x * mean_x / xx);
    return line;
}

} // namespace marblewood::lab::scale
