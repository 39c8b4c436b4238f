/// \file
/// The ids of clients' requests, so that none runs twice.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marblewood::net::resp {

/// Every request has an id of its own, a client's retry included. Nodes would take a second open one with the
/// same id for a retry of the first, and their answers could not be told apart. An id is taken while its
/// request is open. If its client leaves without the answer, it stays taken for kRetention: the node may
/// still run the request. Used only on the event loop's thread.
class RequestIds {
public:
    static constexpr Micros kRetention = 10'000'000; // beyond the longest deadlines

    /// Of the ids whose clients have left, at most `max_kept` are kept, the newest.
    RequestIds(const core::Clock &clock, std::size_t max_kept) : clock_(clock), max_kept_(max_kept) {}

    /// Takes the id for a new request. Returns false if it is taken.
    bool open(const std::string &id);
    /// The request has its answer.
    void release(const std::string &id);
    /// Keeps the id for kRetention: its client has left, or another process has taken it.
    void keep(const std::string &id);
    /// All ids that are taken.
    std::vector<std::string> all() const;

    /// Called with each id that open() takes; may be null. Set while another process serves, too.
    std::function<void(const std::string &id)> on_opened;

private:
    void forget_old();

    static constexpr Micros kOpen = INT64_MAX;

    const core::Clock &clock_;
    const std::size_t max_kept_;
    std::unordered_map<std::string, Micros> expiry_; // kOpen for open requests
    std::deque<const std::string *> kept_;           // keys of expiry_, in the order of their expiry
};

} // namespace marblewood::net::resp
