/// \file
/// Limits the memory used for clients' requests and answers, over all connections.
#pragma once

#include <algorithm>
#include <cstddef>

namespace marblewood::core {

/// Counts reserved bytes against a limit. A reservation always succeeds, even beyond the limit: callers check
/// is_exhausted() before they accept more work. Used only on the event loop's thread.
class MemoryBudget {
public:
    /// What a second process takes by itself, out of the budget of both.
    static constexpr std::size_t kSecondProcessBytes = std::size_t{4} * 1024 * 1024;

    explicit MemoryBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    bool is_exhausted() const { return reserved_bytes_ >= limit(); }
    /// Whether half of the limit is reserved: what connections hold unread or unsent is kept small from then
    /// on, so that the other half is left for requests.
    bool is_short() const { return reserved_bytes_ >= limit() / 2; }
    std::size_t reserved() const { return reserved_bytes_; }
    /// The limit of this process, in bytes.
    std::size_t limit() const { return shared_ ? shared_limit() : limit_bytes_; }
    /// While the budget is shared with another process (hot restart), this process may use half of what is
    /// left of the limit without kSecondProcessBytes, or a quarter of a limit that is less than twice that.
    void set_shared(bool shared) { shared_ = shared; }

    /// A number of reserved bytes, released by the destructor. The budget must outlive the reservation.
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
    std::size_t shared_limit() const {
        return (limit_bytes_ - std::min(kSecondProcessBytes, limit_bytes_ / 2)) / 2;
    }

    const std::size_t limit_bytes_;
    std::size_t reserved_bytes_ = 0;
    bool shared_ = false;
};

} // namespace marblewood::core
