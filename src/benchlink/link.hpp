/// \file
/// The adapter between the simulator and the scheduler: reads batches of events, runs one Scheduler for each
/// simulated broker, and writes the resulting actions as replies.
#pragma once

#include <iosfwd>

namespace marblewood::benchlink {

/// Returns at the end of the input. Throws std::runtime_error, whose message names the line, if the input is
/// malformed; the output then ends with a complete reply.
void run(std::istream &in, std::ostream &out);

} // namespace marblewood::benchlink
