// A least-squares fit of a straight line to points, with the standard errors of its parameters.
#pragma once

#include <vector>

namespace marblewood::lab::scale {

struct Point {
    double x = 0, y = 0;
};

/// y = intercept + slope * x, over x from `least` to `most`. The errors are standard errors; they are 0 where
/// there are no more than two points.
struct Line {
    double slope = 0, intercept = 0;
    double slope_error = 0, intercept_error = 0;
    double residual = 0; // standard deviation of the points from the line
    double least = 0, most = 0;
    int points = 0;

    double at(double x) const { return intercept + slope * x; }
};

/// Needs points at two values of x or more; a line of 0 otherwise.
Line fit(const std::vector<Point> &points);

} // namespace marblewood::lab::scale
