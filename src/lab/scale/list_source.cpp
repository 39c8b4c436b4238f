#include "lab/scale/list_source.hpp"

#include "lab/helpers.hpp"
#include "list_distribution/list_codec.hpp"

#include <fmt/format.h>
#include <numeric>

namespace marblewood::lab::scale {
namespace {

constexpr distribution::ByteBudget kUnbounded{1e12, 1e12};
constexpr std::size_t kMostRemoved = 100'000, kMostCallers = 20'000;
constexpr distribution::Revision kFirst = 1'000; // where the list's revisions begin

asio::ip::tcp::acceptor any_port(asio::io_context &io, int &port) {
    asio::ip::tcp::acceptor acceptor(io);
    const auto at = loopback(0);
    acceptor.open(at.protocol());
    acceptor.bind(at);
    acceptor.listen(4096);
    port = acceptor.local_endpoint().port();
    return acceptor;
}

} // namespace

ListSource::ListSource(asio::io_context &io, core::Deadlines &deadlines, const FleetSize &size,
                       std::uint64_t seed)
    : deadlines_(deadlines), random_(random_stream(seed, 20)),
      server_(io, deadlines, any_port(io, port_), {{kUnbounded, kUnbounded}, kMostRemoved, kMostCallers}) {
    for (int n = 0; n < size.nodes; ++n) {
        const std::string id = fmt::format("s-{:08x}", static_cast<std::uint32_t>(random_()));
        nodes_.push_back({id, fmt::format(R"("id":"{}","host_port":"127.0.0.1:{}","locality":"zone-{}",)"
                                          R"("flavor":"m2","cell":{},"size":1.0)",
                                          id, 10'000 + n, n % size.zones, n)});
    }
    std::vector<std::size_t> all(nodes_.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    publish(all, "", true);
}

distribution::Member ListSource::member(const Node &node) {
    return {node.id, fmt::format(R"({},"up_since_ms":{})", node.fixed, node.started / 1000), node.phase, 0};
}

std::string ListSource::whole() const {
    return list_distribution::encode(server_.log(list_distribution::Channel::Nodes).complete_list());
}

void ListSource::publish(const std::vector<std::size_t> &changed, const std::string &event, bool complete) {
    const distribution::Revision revision = published_.empty() ? kFirst : published_.back().revision + 1;
    distribution::Update update{revision, complete, {}};
    for (const std::size_t number : changed)
        update.members.push_back(member(nodes_[number]));
    published_.push_back({revision, deadlines_.clock.now(), event, changed.size()});
    server_.publish(list_distribution::Channel::Nodes, update);
}

void ListSource::change_one() {
    using distribution::Phase;
    const std::size_t number = random_() % nodes_.size();
    Node &node = nodes_[number];
    if (node.phase == Phase::Removed)
        return;
    if (node.phase == Phase::Up && random_() % 2 == 0) {
        node.phase = Phase::Draining;
    } else {
        node.phase = Phase::Up;
        node.started = deadlines_.clock.now();
    }
    publish({number}, "");
}

void ListSource::remove(int count, const std::string &event) {
    for (std::size_t number = 0; number < nodes_.size() && static_cast<int>(removed_.size()) < count;
         ++number)
        if (nodes_[number].phase == distribution::Phase::Up)
            removed_.push_back(number);
    for (const std::size_t number : removed_)
        nodes_[number].phase = distribution::Phase::Removed;
    publish(removed_, event);
}

void ListSource::bring_back(const std::string &event) {
    for (const std::size_t number : removed_) {
        nodes_[number].phase = distribution::Phase::Up;
        nodes_[number].started = deadlines_.clock.now();
    }
    publish(std::exchange(removed_, {}), event);
}

} // namespace marblewood::lab::scale
