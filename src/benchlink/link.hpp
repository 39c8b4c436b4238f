// The adapter's loop: reads batches of the bench's wire, hosts one Scheduler for each instance, writes
// replies.
#pragma once

#include <iosfwd>

namespace marblewood::benchlink {

// Returns at the end of the input. Throws std::runtime_error with a plain message where the input is
// malformed; what has been written by then is whole replies.
void run(std::istream &in, std::ostream &out);

} // namespace marblewood::benchlink
