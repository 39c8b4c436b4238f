#include "net/cells/cell_router.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

namespace marblewood::net::cells {

namespace mc = marblewood::cells;

namespace {

constexpr Micros kTickInterval = 100'000;
constexpr Micros kOperatorCallTimeout = 1'500'000; // for the coordinator's reply
/// Idle connections between brokers are closed after this time.
constexpr Micros kBrokerConnectionIdleTimeout = 2'000'000;

Settings settings_between_brokers(Settings settings) {
    settings.idle_close = kBrokerConnectionIdleTimeout;
    return settings;
}

mc::CellMember::Timing member_timing(const Settings &settings) {
    mc::CellMember::Timing timing;
    for (const ClassSettings &cls : settings.classes) {
        if (cls.idempotency != Idempotency::WithKey)
            continue;
        timing.key_retention = std::max(timing.key_retention, cls.deduplication_window);
        timing.keys_known_after = std::max(timing.keys_known_after, cls.deduplication_window + cls.deadline);
    }
    return timing;
}

std::string state_path(const Layout &layout, const std::string &broker) {
    return layout.state_directory.empty() ? std::string() : layout.state_directory + "/" + broker + ".cells";
}

} // namespace

CellRouter::CellRouter(asio::io_context &io, core::Deadlines &deadlines, core::MemoryBudget &memory,
                       SocketBudget &budget, const Settings &settings, Layout layout, const std::string &name,
                       tcp::acceptor listener, std::uint64_t seed, DispatcherSelector select_dispatcher)
    : io_(io), deadlines_(deadlines), memory_(memory), settings_(settings), layout_(std::move(layout)),
      select_dispatcher_(std::move(select_dispatcher)),
      member_(name, *this, member_timing(settings), deadlines.clock.now()),
      transport_(io, deadlines, name, std::move(listener), seed,
                 [this](const link::Frame &frame) { on_frame(frame); }),
      state_file_(io, state_path(layout_, name)), outbox_(transport_, state_file_),
      broker_port_(io.get_executor(), deadlines, memory, budget, settings_between_brokers(settings),
                   resp::NodePort::Peers::Brokers) {
    state_file_.on_write_error = [](const link::StateWriteError &error) {
        core::log("state_write_failed role=member error=\"{}\"", error.message());
    };
    if (const auto bytes = state_file_.load())
        member_.restore(link::decode_member_state(*bytes));
    transport_.set_peer_address(mc::kCoordinator, *endpoint<tcp::endpoint>(layout_.coordinator_link));
}

void CellRouter::start() {
    on_map_changed();
    tick();
}

bool CellRouter::owns_node(const std::string &node) const {
    const mc::Cell *const own = member_.cell();
    return own && own->nodes.contains(node);
}

void CellRouter::set_ready_nodes(std::size_t count) {
    member_.set_ready_nodes(static_cast<std::uint32_t>(count));
}

void CellRouter::tick() {
    mc::MemberActions actions;
    member_.tick(deadlines_.clock.now(), actions);
    perform(actions);
    next_tick_ = deadlines_.in(kTickInterval, [this] { tick(); });
}

void CellRouter::on_frame(const link::Frame &frame) {
    if (const auto *reply = std::get_if<link::OperatorReply>(&frame.body)) {
        if (auto call = operator_calls_.extract(reply->id))
            call.mapped()(*reply);
    } else if (const auto *message = std::get_if<mc::Message>(&frame.body)) {
        mc::MemberActions actions;
        member_.on_message(deadlines_.clock.now(), frame.sender, *message, actions);
        perform(actions);
    }
}

void CellRouter::perform(mc::MemberActions &actions) {
    for (mc::MemberAction &action : actions) {
        if (auto *message = std::get_if<mc::OutgoingMessage>(&action))
            outbox_.post(std::move(message->to), std::move(message->message));
        else if (std::holds_alternative<mc::SaveState>(action))
            outbox_.save(layout_.state_directory.empty() ? std::string() : link::encode(member_.state()));
        else if (std::holds_alternative<mc::MapChanged>(action))
            on_map_changed();
        else
            reroute_waiting(std::get<mc::RerouteWaiting>(action).volume);
    }
}

void CellRouter::on_map_changed() {
    if (!member_.map())
        return;
    const mc::Cell *const own = member_.cell();
    core::log("cell_map_changed epoch={} cell={}", member_.map()->epoch.number, own ? own->name : "-");
    set_broker_addresses(*member_.map());
    if (on_nodes_changed)
        on_nodes_changed();
}

void CellRouter::set_broker_addresses(const mc::CellMap &map) {
    for (const mc::Cell &cell : map.cells) {
        for (const mc::Broker &broker : cell.brokers) {
            if (broker.name == member_.name())
                continue;
            if (const auto link = endpoint<tcp::endpoint>(broker.link_address))
                transport_.set_peer_address(broker.name, *link);
            if (const auto clients = endpoint<tcp::endpoint>(broker.client_address))
                broker_port_.place(node_id_of(broker.name), *clients);
        }
    }
}

/// Returns the node id by which broker_port_ identifies a broker. Assigns one to a broker that has none.
NodeId CellRouter::node_id_of(const std::string &broker) {
    const NodeId next{static_cast<std::uint32_t>(node_ids_.size() + 1)};
    return node_ids_.try_emplace(broker, next).first->second;
}

core::RequestDispatcher &CellRouter::dispatcher_of(VolumeId volume) const {
    core::Request request_for_volume;
    request_for_volume.arrival.volume = volume;
    return select_dispatcher_(request_for_volume);
}

mc::TransferredQuota CellRouter::take(VolumeId volume) {
    core::RequestDispatcher &dispatcher = dispatcher_of(volume);
    mc::TransferredQuota quota;
    for (const HandoverState::VolumeQuota &stored : dispatcher.handover_state(volume).quotas) {
        quota.limit_units += stored.units;
        quota.reserve_units += stored.reserve.value_or(0);
    }
    set(volume, 0, 0);
    return quota;
}

void CellRouter::set(VolumeId volume, double limit_units, double reserve_units) {
    dispatcher_of(volume).restore(HandoverState{INT64_MAX, {{volume, limit_units, reserve_units}}, {}});
}

asio::awaitable<std::optional<link::OperatorReply>> CellRouter::call_coordinator(std::string name,
                                                                                 std::string body) {
    using Mailbox = core::Mailbox<std::optional<link::OperatorReply>>;
    const std::uint64_t id = ++last_call_;
    const auto mailbox = std::make_shared<Mailbox>(io_.get_executor());
    operator_calls_[id] = [mailbox](link::OperatorReply reply) { mailbox->put(std::move(reply)); };
    const auto timeout = deadlines_.in(kOperatorCallTimeout, [this, mailbox, id] {
        if (operator_calls_.erase(id))
            mailbox->put(std::nullopt);
    });
    transport_.send(mc::kCoordinator, link::OperatorCall{id, std::move(name), std::move(body)});
    co_return co_await mailbox->take();
}

std::string CellRouter::status() const {
    const mc::CellMember::Counts counts = member_.counts();
    const mc::Cell *const own = member_.cell();
    return fmt::format(
        "broker {}\ncell {}\nepoch {}\nvolumes {}\nfenced {}\nkeys {}\nwaiting {}\nforwarded {}\n"
        "waited {}\nrefused {}\n",
        member_.name(), own ? own->name : "-", member_.map() ? member_.map()->epoch.number : 0,
        counts.volumes, counts.fenced, counts.keys + counts.remote_keys, waiting_, counters_.forwarded,
        counters_.waited, counters_.rejected);
}

std::string CellRouter::stats() const {
    const mc::CellMember::Counts counts = member_.counts();
    return fmt::format(
        "balancer.cells.forwarded:{}|c\nbalancer.cells.waited:{}|c\nbalancer.cells.refused:{}|c\n"
        "balancer.cells.waiting:{}|g\nbalancer.cells.volumes:{}|g\nbalancer.cells.fenced:{}|g\n"
        "balancer.cells.keys:{}|g\nbalancer.cells.epoch:{}|g\n",
        counters_.forwarded, counters_.waited, counters_.rejected, waiting_, counts.volumes, counts.fenced,
        counts.keys + counts.remote_keys, member_.map() ? member_.map()->epoch.number : 0);
}

} // namespace marblewood::net::cells
