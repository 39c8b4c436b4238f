#include "lab/scale/hollow_broker.hpp"

#include "net/address.hpp"

namespace marblewood::lab::scale {
namespace {

constexpr int kSockets = 1024;
constexpr std::size_t kMemory = 16 << 20; // bytes for clients, of whom there are none

// Each broker has a loopback address of its own for datagrams.
asio::ip::udp::endpoint peer_address(int position, int port) {
    constexpr std::uint32_t kFirst = 0x7f010001; // 127.1.0.1
    return {asio::ip::address_v4(kFirst + static_cast<std::uint32_t>(position)),
            static_cast<std::uint16_t>(port)};
}

} // namespace

HollowBroker::HollowBroker(asio::io_context &io, core::Deadlines &deadlines, const HollowConfig &config,
                           int position, const distribution::Locality &locality)
    : name_(fmt::format("n{}", position)), budget_(kSockets), memory_(kMemory),
      settings_(own_settings(config, position)), figures_(settings_.classes.size()),
      resp_port_(io.get_executor(), deadlines, memory_, budget_, settings_),
      nvme_port_(io.get_executor(), deadlines, memory_, budget_, settings_, mapping_.block_bytes),
      ports_(resp_port_), fleet_(nodes_, zones_, mapping_, resp_port_, nvme_port_, ports_, dispatchers_) {
    core::DispatcherCallbacks around;
    around.send_peer_message = [this](std::optional<int> peer, const std::string &data) {
        if (peers_)
            peers_->send(peer, data);
    };
    dispatchers_.push_back(std::make_unique<core::RequestDispatcher>(io.get_executor(), deadlines, memory_,
                                                                     figures_, settings_, ports_, around));
    if (settings_.peers)
        listen_to_peers(io, config, position);
    discovery::ListResponse saved; // at revision 0, as a broker without a list begins
    if (!config.known.isNull())
        saved = discovery::decode_node_list(config.known, nodes_, zones_);
    saved.update.kind = ListUpdate::Kind::Saved;
    revision_ = saved.revision;
    fleet_.apply(saved);
    const bool distributed = !config.distributors.empty();
    const std::string at = distributed ? config.distributors.front().address : config.discovery;
    discovery_.emplace(
        io, deadlines, discovery::watch_options(settings_),
        discovery::SourceAddress{net::endpoint<asio::ip::tcp::endpoint>(at).value(), at}, saved.revision,
        discovery::node_list(nodes_, zones_),
        [this, &deadlines](const discovery::ListResponse &reading) { told(reading, deadlines.clock.now()); });
    if (!distributed)
        return;
    const distribution::DistributorSelector selector(config.distributors, name_, locality, settings_.seed);
    discovery_->use_distributors(selector);
    if (!config.documents)
        return;
    documents_.emplace(
        io, deadlines, selector, name_, settings_.seed,
        [this, &deadlines](const config::Operations &operations, distribution::Revision version) {
            fleet_.set_fleet_cordons(operations.cordons);
            configured_.push_back({version, deadlines.clock.now()});
        });
}

discovery::DiscoveryMetrics HollowBroker::traffic() const {
    discovery::DiscoveryMetrics sum = discovery_->metrics();
    if (!documents_)
        return sum;
    const discovery::DiscoveryMetrics &more = documents_->metrics();
    sum.calls += more.calls;
    sum.failed += more.failed;
    sum.sent_bytes += more.sent_bytes;
    sum.received_bytes += more.received_bytes;
    return sum;
}

Settings HollowBroker::own_settings(const HollowConfig &config, int position) const {
    Settings own = config.settings;
    own.hosts = config.hosts;
    own.position = position;
    own.seed = config.settings.seed + static_cast<std::uint64_t>(position) * 0x9e3779b97f4a7c15;
    own.lends = own.peers;
    return own;
}

void HollowBroker::listen_to_peers(asio::io_context &io, const HollowConfig &config, int position) {
    std::vector<asio::ip::udp::endpoint> all;
    all.reserve(static_cast<std::size_t>(config.hosts));
    for (int n = 0; n < config.hosts; ++n)
        all.push_back(peer_address(n, config.peer_port));
    peers_.emplace(asio::ip::udp::socket(io, peer_address(position, config.peer_port)), std::move(all),
                   std::nullopt,
                   [this](const PeerMessage &message) { dispatchers_.front()->peer_message(message); });
}

void HollowBroker::told(const discovery::ListResponse &reading, Micros now) {
    if (reading.revision < revision_)
        ++went_back_;
    if (reading.revision > revision_)
        adopted_.push_back({reading.revision, now});
    revision_ = reading.revision;
    fleet_.apply(reading);
}

} // namespace marblewood::lab::scale
