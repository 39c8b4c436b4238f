#include "net/cells/coordinator_server.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

#include <charconv>

namespace marblewood::net::cells {

namespace mc = marblewood::cells;

namespace {

constexpr Micros kTickInterval = 50'000;
constexpr std::size_t kMaxVolumeDigits = 16;
constexpr const char *kStateFileName = "/keeper.cells";

std::optional<VolumeId> parse_volume(std::string_view text) {
    std::uint64_t value = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value, 16);
    if (text.empty() || text.size() > kMaxVolumeDigits || error != std::errc() || end != last)
        return std::nullopt;
    return VolumeId{value};
}

bool is_volume_call(const std::string &name) {
    return name == "where" || name == "move" || name == "pin" || name == "unpin";
}

std::string describe(const mc::Cell &cell, const mc::CellCoordinator::CellStatus &status) {
    return fmt::format(
        "{} capacity {:.0f} promised {:.0f} rate {:.0f} volumes {} brokers {}/{} ready nodes {}/{}{}{}\n",
        cell.name, cell.capacity, status.reserved_rate, status.rate, status.volumes, status.reporting_brokers,
        cell.brokers.size(), status.ready_nodes, cell.nodes.size(), cell.frozen ? " frozen" : "",
        cell.evacuated ? " evacuated" : "");
}

} // namespace

CoordinatorServer::CoordinatorServer(asio::io_context &io, core::Deadlines &deadlines, const Layout &layout,
                                     tcp::acceptor listener, std::uint64_t seed)
    : deadlines_(deadlines), coordinator_(layout.map, seed, layout.coordinator_timing),
      transport_(io, deadlines, mc::kCoordinator, std::move(listener), seed,
                 [this](const link::Frame &frame) { on_frame(frame); }),
      state_file_(io, layout.state_directory.empty() ? "" : layout.state_directory + kStateFileName),
      outbox_(transport_, state_file_) {
    state_file_.on_write_error = [](const link::StateWriteError &error) {
        core::log("state_write_failed role=coordinator error=\"{}\"", error.message());
    };
    if (const auto bytes = state_file_.load()) {
        coordinator_.restore(link::decode_coordinator_state(*bytes));
        core::log("coordinator_state_loaded epoch={} migrations={}", coordinator_.state().epoch_counter,
                  coordinator_.migrations().size());
    }
    set_broker_addresses();
    tick();
}

void CoordinatorServer::set_broker_addresses() {
    for (const mc::Cell &cell : coordinator_.map().cells)
        for (const mc::Broker &broker : cell.brokers)
            transport_.set_peer_address(broker.name, *endpoint<tcp::endpoint>(broker.link_address));
}

void CoordinatorServer::reload_layout(const Layout &layout) {
    mc::CoordinatorActions actions;
    const OperatorResult result = coordinator_.relayout(layout.map, actions);
    if (result.ok)
        set_broker_addresses(); // before the map is sent to the brokers
    perform(actions);
    if (result.ok)
        core::log("coordinator_layout_reloaded cells={}", coordinator_.map().cells.size());
    else
        core::log("coordinator_layout_rejected reason=\"{}\"", result.text);
}

void CoordinatorServer::tick() {
    mc::CoordinatorActions actions;
    coordinator_.tick(deadlines_.clock.now(), actions);
    perform(actions);
    next_tick_ = deadlines_.in(kTickInterval, [this] { tick(); });
}

void CoordinatorServer::on_frame(const link::Frame &frame) {
    if (const auto *call = std::get_if<link::OperatorCall>(&frame.body)) {
        link::OperatorReply reply = handle_call(call->name, call->body);
        reply.id = call->id;
        transport_.send(frame.sender, std::move(reply));
    } else if (const auto *message = std::get_if<mc::Message>(&frame.body)) {
        mc::CoordinatorActions actions;
        coordinator_.on_message(deadlines_.clock.now(), frame.sender, *message, actions);
        perform(actions);
    }
}

void CoordinatorServer::perform(mc::CoordinatorActions &actions) {
    for (mc::CoordinatorAction &action : actions) {
        if (auto *message = std::get_if<mc::OutgoingMessage>(&action))
            outbox_.post(std::move(message->to), std::move(message->message));
        else if (std::holds_alternative<mc::SaveState>(action))
            outbox_.save(link::encode(coordinator_.state()));
        else
            core::log("{}", std::get<mc::LogEntry>(action).text);
    }
}

link::OperatorReply CoordinatorServer::handle_call(const std::string &name, const std::string &body) {
    mc::CoordinatorActions actions;
    OperatorResult result;
    if (name == "list")
        result = {true, list()};
    else if (is_volume_call(name))
        result = volume_call(name, body, actions);
    else
        result = cell_call(name, body, actions);
    perform(actions);
    if (result.text.empty() || result.text.back() != '\n')
        result.text += '\n';
    return {0, result.ok, result.text};
}

/// Calls whose body begins with a volume: `VOLUME` or `VOLUME CELL`.
CoordinatorServer::OperatorResult CoordinatorServer::volume_call(const std::string &name,
                                                                 const std::string &body,
                                                                 mc::CoordinatorActions &actions) {
    const std::size_t space = body.find(' ');
    const bool names_cell = space != std::string::npos;
    const auto volume = parse_volume(std::string_view(body).substr(0, space));
    if (!volume)
        return {false, "a volume is up to 16 hexadecimal digits"};
    if (name == "where")
        return {true, coordinator_.where(*volume)};
    const Micros now = deadlines_.clock.now();
    if (name == "unpin")
        return coordinator_.unpin(now, *volume, actions);
    if (names_cell) // pinning a volume in a cell also moves it there
        return coordinator_.move(now, *volume, body.substr(space + 1), actions);
    if (name == "pin")
        return coordinator_.pin(*volume, actions);
    return {false, "wanted: VOLUME CELL"};
}

/// Calls whose body is a cell's name.
CoordinatorServer::OperatorResult CoordinatorServer::cell_call(const std::string &name,
                                                               const std::string &cell,
                                                               mc::CoordinatorActions &actions) {
    if (name == "freeze")
        return coordinator_.set_frozen(cell, true, actions);
    if (name == "unfreeze")
        return coordinator_.set_frozen(cell, false, actions);
    if (name == "evacuate")
        return coordinator_.evacuate(cell, actions);
    if (name == "restore")
        return coordinator_.restore_cell(cell, actions);
    return {false, "no such call"};
}

std::string CoordinatorServer::list() const {
    const mc::CellMap &map = coordinator_.map();
    std::string text =
        fmt::format("epoch {}{}\n", map.epoch.number, coordinator_.has_quorum() ? "" : " (not settled)");
    const auto status = coordinator_.cell_status(deadlines_.clock.now());
    for (const mc::Cell &cell : map.cells)
        text += describe(cell, status.at(cell.name));
    for (const auto &[volume, migration] : coordinator_.migrations())
        text += fmt::format("moving {:016x} from {} to {}\n", static_cast<std::uint64_t>(volume),
                            migration.source_cell, migration.target_cell);
    return text;
}

std::string CoordinatorServer::stats() const {
    const mc::CellCoordinator::Counters &counters = coordinator_.counters();
    std::string text = fmt::format(
        "keeper.moves_begun:{}|c\nkeeper.moves_completed:{}|c\nkeeper.moves_undone:{}|c\n"
        "keeper.moving:{}|g\nkeeper.epoch:{}|g\nkeeper.pins:{}|g\nkeeper.frames_lost:{}|c\n",
        counters.started, counters.completed, counters.aborted, coordinator_.migrations().size(),
        coordinator_.map().epoch.number, coordinator_.map().pins.size(), transport_.dropped_frames());
    for (const auto &[name, status] : coordinator_.cell_status(deadlines_.clock.now()))
        text += fmt::format("keeper.cell.{0}.volumes:{1}|g\nkeeper.cell.{0}.promised:{2:.0f}|g\n"
                            "keeper.cell.{0}.rate:{3:.0f}|g\nkeeper.cell.{0}.ready:{4}|g\n",
                            name, status.volumes, status.reserved_rate, status.rate, status.ready_nodes);
    return text;
}

} // namespace marblewood::net::cells
