#include "app/client_servers.hpp"

#include <memory>

namespace marblewood::app {

ClientServers::ClientServers(boost::asio::io_context &io, net::SocketBudget &sockets,
                             const core::FrontEndServices &services, const net::nvme::Mapping &nvme_mapping,
                             Acceptor resp_listener, std::optional<Acceptor> nvme_listener,
                             std::size_t max_request_ids)
    : services_(services), nvme_mapping_(nvme_mapping),
      input_turns_(io.get_executor(), services.deadlines.clock),
      request_ids_(services.deadlines.clock, max_request_ids),
      resp_(io, services.deadlines, sockets, metrics_, std::move(resp_listener), [this](net::Client &client) {
          return net::resp::serve(client, services_, input_turns_, request_ids_);
      }) {
    if (!nvme_listener)
        return;
    nvme_.emplace(
        io, services.deadlines, sockets, metrics_, std::move(*nvme_listener), [this](net::Client &client) {
            return net::nvme::serve(client, services_, input_turns_, nvme_mapping_, nvme_controllers_);
        });
}

std::size_t ClientServers::open_connections() const {
    return resp_.open() + (nvme_ ? nvme_->open() : 0);
}

std::size_t ClientServers::closing_connections() const {
    return resp_.closing() + (nvme_ ? nvme_->closing() : 0);
}

net::Clients::Busiest ClientServers::take_busiest() {
    const net::Clients::Busiest resp = resp_.take_busiest();
    const net::Clients::Busiest nvme = nvme_ ? nvme_->take_busiest() : net::Clients::Busiest{};
    return nvme.bytes > resp.bytes ? nvme : resp;
}

void ClientServers::apply(const QuiesceState &state) {
    resp_.quiesce(state.active_since());
    if (nvme_)
        nvme_->quiesce(state.active_since());
}

void ClientServers::pause_accepting() {
    resp_.pause();
    if (nvme_)
        nvme_->pause();
}

void ClientServers::resume_accepting() {
    resp_.resume();
    if (nvme_)
        nvme_->resume();
}

void ClientServers::drain(Micros close_connections_at, Micros answer_all_at, std::function<void()> done) {
    const auto servers_draining = std::make_shared<int>(nvme_ ? 2 : 1);
    const auto server_done = [servers_draining, done = std::move(done)] {
        --*servers_draining;
        if (*servers_draining == 0)
            done();
    };
    resp_.drain(close_connections_at, answer_all_at, server_done);
    if (nvme_)
        nvme_->drain(close_connections_at, answer_all_at, server_done);
}

} // namespace marblewood::app
