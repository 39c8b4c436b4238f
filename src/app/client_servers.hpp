/// \file
/// The servers that accept clients: RESP2, and NVMe/TCP if the operator's file configures it.
#pragma once

#include "core/request_handler.hpp"
#include "net/clients.hpp"
#include "net/nvme/front.hpp"
#include "net/resp/front.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>

namespace marblewood::app {

/// Whether operators have quiesced the broker, which closes client connections between requests, and since
/// when.
struct QuiesceState {
    bool active = false;
    Micros since = 0; ///< Unix time; meaningful only while `active`

    std::optional<Micros> active_since() const { return active ? std::optional(since) : std::nullopt; }
};

/// Both servers behind one interface. They accept clients from construction on. Used only on the event loop's
/// thread.
class ClientServers {
public:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    /// The references must outlive this object. Of the ids of requests whose clients
    /// have left, `max_request_ids` are kept.
    ClientServers(boost::asio::io_context &io, net::SocketBudget &sockets,
                  const core::FrontEndServices &services, const net::nvme::Mapping &nvme_mapping,
                  Acceptor resp_listener, std::optional<Acceptor> nvme_listener, std::size_t max_request_ids);

    net::Clients &resp() { return resp_; }
    net::resp::RequestIds &request_ids() { return request_ids_; }
    /// Null if NVMe/TCP is not configured.
    net::Clients *nvme() { return nvme_ ? &*nvme_ : nullptr; }

    std::size_t open_connections() const;
    /// How many of the open connections are being closed.
    std::size_t closing_connections() const;
    const net::ClientFigures &metrics() const { return metrics_; }
    /// The connection that has sent the most bytes since the last call, over all front ends.
    net::Clients::Busiest take_busiest();

    void apply(const QuiesceState &state);
    void pause_accepting();
    void resume_accepting();
    /// Closes all connections at the given times, see ShutdownSchedule. Calls `done` once none is left.
    void drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> done);

private:
    const core::FrontEndServices &services_;
    const net::nvme::Mapping &nvme_mapping_;
    net::ClientFigures metrics_;
    net::InputTurns input_turns_;
    net::resp::RequestIds request_ids_;
    net::Clients resp_;
    net::nvme::Controllers nvme_controllers_;
    std::optional<net::Clients> nvme_;
};

} // namespace marblewood::app
