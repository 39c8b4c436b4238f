/// \file
/// The servers that accept clients: RESP2, and NVMe/TCP where the operator's file configures it.
#pragma once

#include "core/request_handler.hpp"
#include "net/clients.hpp"
#include "net/nvme/front.hpp"
#include "net/resp/front.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>

namespace marblewood::app {

/// Whether operators send clients away (quiesce), and since when.
struct QuiesceState {
    bool active = false;
    Micros since = 0; ///< Unix time in us; only while `active`

    std::optional<Micros> active_since() const { return active ? std::optional(since) : std::nullopt; }
};

/// Both servers as one. Accepts from construction on. Used on the loop's thread alone.
class ClientServers {
public:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    /// The references outlive it.
    ClientServers(boost::asio::io_context &io, net::SocketBudget &sockets,
                  const core::FrontEndServices &services, const net::nvme::Mapping &nvme_mapping,
                  Acceptor resp_listener, std::optional<Acceptor> nvme_listener);

    net::Clients &resp() { return resp_; }
    /// Null where NVMe/TCP is not configured.
    net::Clients *nvme() { return nvme_ ? &*nvme_ : nullptr; }

    std::size_t open() const;    ///< connections
    std::size_t closing() const; ///< of those: told to end
    const net::ClientFigures &metrics() const { return metrics_; }

    void apply(const QuiesceState &state);
    void pause_accepting();
    void resume_accepting();
    /// Closes all connections; see ShutdownSchedule. `done` is called once none is left.
    void drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> done);

private:
    const core::FrontEndServices &services_;
    const net::nvme::Mapping &nvme_mapping_;
    net::ClientFigures metrics_;
    net::resp::OpenRequestIds open_ids_;
    net::Clients resp_;
    net::nvme::Controllers nvme_controllers_;
    std::optional<net::Clients> nvme_;
};

} // namespace marblewood::app
