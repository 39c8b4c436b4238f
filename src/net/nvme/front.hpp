/// \file
/// The NVMe/TCP front end: turns the Reads and Writes of hosts into requests and their outcomes into
/// completions.
#pragma once

#include "core/request_dispatcher.hpp"
#include "net/clients.hpp"
#include "net/input_turns.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/pdu.hpp"

namespace marblewood::net::nvme {

class FrontSession;

/// The controllers that Connect commands have created, each with its queues, which are one connection each.
class Controllers {
public:
    /// Creates a controller with the admin queue `admin`; returns its id.
    std::uint16_t make(FrontSession &admin);
    /// Adds an I/O queue to a controller; false if there is no such controller or the queue exists.
    bool join(std::uint16_t controller, std::uint16_t queue, FrontSession &session);
    /// Removes a queue. Removing the admin queue ends the controller and closes its other queues.
    void leave(std::uint16_t controller, std::uint16_t queue, const FrontSession &session);
    FrontSession *find(std::uint16_t controller, std::uint16_t queue) const;
    bool has_io_queues(std::uint16_t controller) const;

private:
    std::map<std::uint16_t, std::map<std::uint16_t, FrontSession *>> queues_;
    std::uint16_t last_controller_ = 0;
};

/// The completion status for an outcome, with the index of one of the controller's retry delays (CRD).
Status16 to_status(const core::Outcome &outcome);
/// The three retry delays of Identify Controller, in units of 100 ms, shortest first.
inline constexpr std::array<std::uint16_t, 3> kRetryDelays{1, 2, 5};

/// Serves one queue of a host until its connection has ended.
asio::awaitable<void> serve(Client &client, core::FrontEndServices services, InputTurns &turns,
                            const Mapping &mapping, Controllers &controllers);

} // namespace marblewood::net::nvme
