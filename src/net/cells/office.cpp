#include "net/cells/office.hpp"

#include "core/log.hpp"
#include "net/address.hpp"

#include <charconv>

namespace marblewood::net::cells {

namespace mc = marblewood::cells;

namespace {

constexpr Micros kTick = 50'000;

std::optional<VolumeId> volume_of(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.empty() || text.size() > 16 || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return VolumeId{value};
}

} // namespace

Office::Office(asio::io_context &io, core::Deadlines &deadlines, const Layout &layout, tcp::acceptor listener,
               std::uint64_t seed)
    : deadlines_(deadlines), keeper_(layout.map, seed, layout.timing),
      link_(io, deadlines, "", std::move(listener), seed, [this](const link::Frame &frame) { heard(frame); }),
      file_(io, layout.state.empty() ? "" : layout.state + "/keeper.cells"), outbox_(link_, file_) {
    file_.failed = [](const std::string &why) { core::log("keeper: the state can't be written: {}", why); };
    if (const auto bytes = file_.load()) {
        keeper_.restore(link::decode_keeper(*bytes));
        core::log("keeper: epoch {} and {} unfinished moves from disk", keeper_.state().counter,
                  keeper_.moves().size());
    }
    place_brokers();
    tick();
}

void Office::place_brokers() {
    for (const mc::Cell &cell : keeper_.map().cells)
        for (const mc::Broker &broker : cell.brokers)
            link_.place(broker.name, *endpoint<tcp::endpoint>(broker.link));
}

bool Office::relayout(const Layout &layout) {
    std::vector<mc::KeeperAction> actions;
    const auto reply = keeper_.relayout(layout.map, actions);
    if (reply.ok)
        place_brokers(); // before they are told
    perform(actions);
    core::log("keeper: layout {}: {}", reply.ok ? "taken" : "not taken", reply.text);
    return reply.ok;
}

void Office::tick() {
    std::vector<mc::KeeperAction> actions;
    keeper_.tick(deadlines_.clock.now(), actions);
    perform(actions);
    tick_ = deadlines_.in(kTick, [this] { tick(); });
}

void Office::heard(const link::Frame &frame) {
    if (const auto *call = std::get_if<link::Call>(&frame.body)) {
        link::Reply reply = this->call(call->what, call->body);
        reply.number = call->number;
        link_.send(frame.from, std::move(reply));
    } else if (const auto *message = std::get_if<mc::Message>(&frame.body)) {
        std::vector<mc::KeeperAction> actions;
        keeper_.handle(deadlines_.clock.now(), frame.from, *message, actions);
        perform(actions);
    }
}

void Office::perform(std::vector<mc::KeeperAction> &actions) {
    for (mc::KeeperAction &action : actions)
        if (auto *post = std::get_if<mc::Post>(&action))
            outbox_.post(std::move(post->to), std::move(post->message));
        else if (std::holds_alternative<mc::Save>(action))
            outbox_.save(link::encode(keeper_.state()));
        else
            core::log("keeper: {}", std::get<mc::Note>(action).text);
}

link::Reply Office::call(const std::string &what, const std::string &body) {
    const Micros now = deadlines_.clock.now();
    std::vector<mc::KeeperAction> actions;
    mc::Keeper::Reply reply{false, "no such call"};
    const std::size_t space = body.find(' ');
    const auto volume = volume_of(std::string_view(body).substr(0, space));
    const bool about_volume = what == "where" || what == "move" || what == "pin" || what == "unpin";
    if (about_volume && !volume)
        reply.text = "a volume is up to 16 hexadecimal digits";
    else if (what == "list")
        reply = {true, list()};
    else if (what == "where")
        reply = {true, keeper_.where(*volume)};
    else if (what == "pin" && space == std::string::npos)
        reply = keeper_.pin(*volume, actions);
    else if (what == "move" || what == "pin")
        reply = space == std::string::npos ? mc::Keeper::Reply{false, "wanted: VOLUME CELL"}
                                           : keeper_.move(now, *volume, body.substr(space + 1), actions);
    else if (what == "unpin")
        reply = keeper_.unpin(now, *volume, actions);
    else if (what == "freeze" || what == "unfreeze")
        reply = keeper_.freeze(body, what == "freeze", actions);
    else if (what == "evacuate")
        reply = keeper_.evacuate(body, actions);
    else if (what == "restore")
        reply = keeper_.restore_cell(body, actions);
    perform(actions);
    if (reply.text.empty() || reply.text.back() != '\n')
        reply.text += '\n';
    return {0, reply.ok, reply.text};
}

std::string Office::list() const {
    std::string out =
        fmt::format("epoch {}{}\n", keeper_.map().epoch.number, keeper_.settled() ? "" : " (not settled)");
    const auto figures = keeper_.cells(deadlines_.clock.now());
    for (const mc::Cell &cell : keeper_.map().cells) {
        const auto &f = figures.at(cell.name);
        out += fmt::format(
            "{} capacity {:.0f} promised {:.0f} rate {:.0f} volumes {} brokers {}/{} ready nodes {}/{}{}{}\n",
            cell.name, cell.capacity, f.promised, f.rate, f.volumes, f.brokers_heard, cell.brokers.size(),
            f.ready, cell.nodes.size(), cell.frozen ? " frozen" : "", cell.evacuated ? " evacuated" : "");
    }
    for (const auto &[volume, move] : keeper_.moves())
        out += fmt::format("moving {:016x} from {} to {}\n", static_cast<std::uint64_t>(volume), move.from,
                           move.to);
    return out;
}

std::string Office::stats() const {
    const auto &f = keeper_.figures();
    std::string out =
        fmt::format("keeper.moves_begun:{}|c\nkeeper.moves_completed:{}|c\nkeeper.moves_undone:{}|c\n"
                    "keeper.moving:{}|g\nkeeper.epoch:{}|g\nkeeper.pins:{}|g\nkeeper.frames_lost:{}|c\n",
                    f.begun, f.completed, f.aborted, keeper_.moves().size(), keeper_.map().epoch.number,
                    keeper_.map().pins.size(), link_.lost());
    for (const auto &[name, c] : keeper_.cells(deadlines_.clock.now()))
        out += fmt::format("keeper.cell.{0}.volumes:{1}|g\nkeeper.cell.{0}.promised:{2:.0f}|g\nkeeper.cell.{"
                           "0}.rate:{3:.0f}|g\n"
                           "keeper.cell.{0}.ready:{4}|g\n",
                           name, c.volumes, c.promised, c.rate, c.ready);
    return out;
}

} // namespace marblewood::net::cells
