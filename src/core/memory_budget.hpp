/// \file
/// Bounds the memory that is used for clients' requests and answers, over all connections.
#pragma once

#include <cstddef>

namespace marblewood::core {

/// Counts reserved bytes against a limit. Reservations always succeed: whoever would take on more work checks
/// is_exhausted() before. Used on the loop's thread alone.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    bool is_exhausted() const { return reserved_bytes_ >= (shared_ ? limit_bytes_ / 2 : limit_bytes_); }
    /// While shared, half of the limit belongs to another process (hot restart).
    void set_shared(bool shared) { shared_ = shared; }

    /// The bytes that one holder has reserved; released at its destruction. The budget outlives it.
    class Reservation {
    public:
        explicit Reservation(MemoryBudget &budget, std::size_t bytes = 0) : budget_(budget) { resize(bytes); }
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;
        ~Reservation() { resize(0); }

        void resize(std::size_t bytes) {
            budget_.reserved_bytes_ += bytes - bytes_;
            bytes_ = bytes;
        }

    private:
        MemoryBudget &budget_;
        std::size_t bytes_ = 0;
    };

private:
    const std::size_t limit_bytes_;
    std::size_t reserved_bytes_ = 0;
    bool shared_ = false;
};

} // namespace marblewood::core
