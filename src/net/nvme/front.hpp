// The front for hosts that speak NVMe/TCP: Reads and Writes become requests, outcomes become completions.
#pragma once

#include "core/request_dispatcher.hpp"
#include "net/clients.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/pdu.hpp"

namespace marblewood::net::nvme {

class FrontSession;
// The controllers made by Connect, and the queues (connections) that belong to each.
class Controllers {
public:
    std::uint16_t make(FrontSession &admin);
    bool join(std::uint16_t controller, std::uint16_t queue, FrontSession &session);
    void leave(std::uint16_t controller, std::uint16_t queue, const FrontSession &session);
    FrontSession *find(std::uint16_t controller, std::uint16_t queue) const;
    bool has_io_queues(std::uint16_t controller) const;

private:
    std::map<std::uint16_t, std::map<std::uint16_t, FrontSession *>> queues_;
    std::uint16_t last_ = 0;
};

// How an outcome is told: a status, and which of the controller's retry delays (CRD) goes with it.
Status16 spell(const core::Outcome &outcome);
// Identify Controller's three delays, in units of 100 ms, shortest first.
inline constexpr std::array<std::uint16_t, 3> kRetryDelays{1, 2, 5};

asio::awaitable<void> serve(Client &client, core::FrontEndServices services, const Mapping &mapping,
                            Controllers &controllers);

} // namespace marblewood::net::nvme
