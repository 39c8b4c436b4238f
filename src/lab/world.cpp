#include "lab/world.hpp"

#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace marblewood::lab {
namespace {

constexpr Micros kPatience = 300'000; // us beyond a client's time, after which no answer comes any more
constexpr Micros kKeepIdle = 1'500'000;
constexpr Micros kOnItsWay = 50'000; // us from a broker's decision to its node
constexpr int kMostTries = 6;

Micros micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }

int free_port() {
    static int last = 20'000 + ::getpid() * 53 % 11'000;
    for (;;) {
        last = last < 32'000 ? last + 1 : 20'000;
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(last));
        const bool good = ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
        ::close(fd);
        if (good) return last;
    }
}
tcp::endpoint local(int port) { return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}; }

// A stream of random numbers of its own for each purpose, so that what one draws changes nothing for the
// others.
std::mt19937_64 stream(std::uint64_t seed, std::uint32_t purpose, std::uint32_t number = 0) {
    std::seed_seq seeds{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32), purpose,
                        number};
    return std::mt19937_64(seeds);
}

void reraise(const std::exception_ptr &error) {
    if (error) std::rethrow_exception(error);
}

} // namespace

void Process::start() {
    std::vector<char *> argv;
    for (std::string &word : command) argv.push_back(word.data());
    argv.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid = ::fork();
    if (pid != 0) return;
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (out < 0 || ::dup2(out, 2) < 0 || ::dup2(out, 1) < 0) ::_exit(127);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    ::execv(argv[0], argv.data());
    ::_exit(127);
}
void Process::signal(int number) const {
    if (pid > 0) ::kill(pid, number);
}
void Process::kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(std::exchange(pid, -1), nullptr, 0);
}

World::World(const Experiment &experiment, std::uint64_t seed, std::filesystem::path folder, Parts parts)
    : experiment_(experiment), settings_(config::read_settings(experiment.settings, 0)), seed_(seed),
      folder_(std::move(folder)), parts_(parts), weather_(stream(seed, 7)()) {
    std::filesystem::create_directories(folder_ / "state");
    for (const auto &file : std::filesystem::directory_iterator(folder_ / "state"))
        std::filesystem::remove(file);
    for (const auto &file : std::filesystem::directory_iterator(folder_)) // logs are of one run
        if (file.path().extension() == ".log") std::filesystem::remove(file);
    lay_out();
    draw();
    write_settings();
}
void World::lay_out() {
    const Experiment &e = experiment_;
    map_.spread = e.spread;
    keys_.resize(static_cast<std::size_t>(e.cells));
    keeper_link_ = free_port(), keeper_control_ = free_port();
    lists_.emplace(io_, deadlines_,
                   Lists::Model{!settings_.ask_for_list, micros(e.list_least), micros(e.list_most)},
                   static_cast<std::size_t>(e.cells * e.brokers), stream(seed_, 6)());
    for (int c = 0; c < e.cells; ++c) {
        cells::Cell cell{fmt::format("c{}", c), e.node.capacity() * e.nodes, {}, {}, false, false};
        for (int b = 0; b < e.brokers; ++b) {
            Broker broker;
            broker.name = fmt::format("c{}-b{}", c, b);
            broker.cell = c, broker.port = free_port(), broker.link = free_port();
            broker.peer = free_port(), broker.control = free_port();
            cell.brokers.push_back({broker.name, fmt::format("127.0.0.1:{}", broker.port),
                                    fmt::format("127.0.0.1:{}", broker.link)});
            brokers_.push_back(std::move(broker));
        }
        for (int n = 0; n < e.nodes; ++n) {
            const std::string name = fmt::format("s-{}-{}", c, n);
            cell.nodes.insert(name);
            EmulatedNode::Surroundings around{
                [this](const std::string &id, std::uint64_t volume, double units) {
                    if (const auto first = tries_.find(id); first != tries_.end())
                        oracle_->attempt(first->second);
                    const auto at = volume_numbers_.find(volume);
                    if (at != volume_numbers_.end() && charged_.insert(id).second)
                        oracle_->at_node(clock_.now(), at->second, units);
                },
                [this, c](const std::string &key) { oracle_->ran(key, c); },
                keys_[static_cast<std::size_t>(c)], settings_.classes[1].repeat_window};
            nodes_.push_back(std::make_unique<EmulatedNode>(
                io_, deadlines_, name, e.node, settings_.fall_window,
                stream(seed_, 3, static_cast<std::uint32_t>(nodes_.size()))(), std::move(around)));
        }
        map_.cells.push_back(std::move(cell));
    }
    for (const Fault &f : e.faults) {
        const bool nodes = f.what == "cut-nodes";
        if (parts_.faults && (nodes || f.what == "datagrams" || f.what == "cut"))
            weather_.add({micros(f.at), micros(f.at + f.length), f.from, f.to, nodes, f.what != "datagrams",
                          f.lost, f.doubled, micros(f.late_least), micros(f.late_most)});
    }
    if (e.peers) {
        std::vector<int> listens, groups;
        for (const Broker &broker : brokers_) listens.push_back(broker.peer), groups.push_back(broker.cell);
        datagrams_.emplace(io_, deadlines_, weather_, std::move(listens), std::move(groups));
    }
    if (e.relay)
        for (int b = 0; b < static_cast<int>(brokers_.size()); ++b)
            for (int n = 0; n < static_cast<int>(nodes_.size()); ++n)
                streams_.push_back(std::make_unique<StreamRelay>(
                    io_, deadlines_, nodes_[static_cast<std::size_t>(n)]->port(),
                    [this, b, n] { return start_ > 0 && weather_.silent(b, n, clock_.now() - start_); }));
}

void World::draw() {
    const Experiment &e = experiment_;
    std::uint32_t number = 0;
    std::vector<double> usual(static_cast<std::size_t>(e.cells));
    const auto arrivals = [&](int volume, double rate, double from, double to, double units, double writes,
                              bool surge) {
        std::mt19937_64 random = stream(seed_, surge ? 2 : 1, static_cast<std::uint32_t>(volume));
        boost::random::exponential_distribution<double> gap(rate);
        boost::random::uniform_int_distribution<int> size(1, std::max(1, static_cast<int>(2 * units) - 1)),
            piece(0, 999);
        boost::random::bernoulli_distribution<double> write(writes);
        for (double at = from + gap(random); at < to; at += gap(random)) {
            Drawn d;
            d.at = micros(at);
            d.volume = volume;
            d.surge = surge;
            d.write = write(random);
            d.units = std::min(size(random), 8);
            d.piece = fmt::format("{:012x}{:04x}",
                                  static_cast<std::uint64_t>(volumes_[static_cast<std::size_t>(volume)].id) &
                                      0xffffffffffff,
                                  piece(random));
            d.luck = random();
            if (d.write) d.key = fmt::format("{:016x}", random());
            drawn_.push_back(std::move(d));
        }
    };
    std::mt19937_64 ids = stream(seed_, 0);
    for (const VolumeKind &kind : e.volumes)
        for (int n = 0; n < kind.count; ++n, ++number) {
            Volume v;
            v.id = VolumeId{ids()};
            v.spelt = fmt::format("{:016x}", static_cast<std::uint64_t>(v.id));
            for (std::size_t p = 0; p < settings_.plans.size(); ++p)
                if (settings_.plans[p].name == kind.plan) v.plan = static_cast<int>(p);
            const cells::Cell &home = *map_.home(v.id);
            v.cell = static_cast<int>(&home - map_.cells.data());
            for (const cells::Broker *b : map_.brokers_of(v.id, home))
                for (std::size_t i = 0; i < brokers_.size(); ++i)
                    if (brokers_[i].name == b->name) v.brokers.push_back(static_cast<int>(i));
            v.busiest = kind.busiest, v.shift = micros(kind.shift_s);
            volume_numbers_[static_cast<std::uint64_t>(v.id)] = static_cast<int>(volumes_.size());
            usual[static_cast<std::size_t>(v.cell)] += kind.rate;
            volumes_.push_back(std::move(v));
            arrivals(static_cast<int>(number), kind.rate, 0, e.seconds, kind.units, kind.writes, false);
        }
    if (parts_.surges)
        for (const Surge &surge : e.surges)
            for (std::size_t v = 0; v < volumes_.size(); ++v)
                if (volumes_[v].cell == surge.cell &&
                    settings_.plans[static_cast<std::size_t>(volumes_[v].plan)].name == surge.plan) {
                    arrivals(static_cast<int>(v), surge.times * usual[static_cast<std::size_t>(surge.cell)],
                             surge.at, std::min(surge.at + surge.length, e.seconds), 2, 0.2, true);
                    break;
                }
    std::stable_sort(drawn_.begin(), drawn_.end(),
                     [](const Drawn &a, const Drawn &b) { return a.at < b.at; });
}

void World::write_settings() {
    const std::string program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "marblewood";
    Json::Value cells(Json::objectValue);
    cells["keeper"]["link"] = fmt::format("127.0.0.1:{}", keeper_link_);
    cells["keeper"]["control"] = fmt::format("127.0.0.1:{}", keeper_control_);
    cells["state"] = (folder_ / "state").string();
    cells["spread"] = map_.spread;
    cells["forward"] = experiment_.forward;
    for (const cells::Cell &cell : map_.cells) {
        Json::Value one;
        one["name"] = cell.name;
        one["capacity"] = cell.capacity;
        for (const cells::Broker &b : cell.brokers) {
            Json::Value row;
            row["name"] = b.name, row["clients"] = b.clients, row["link"] = b.link;
            one["brokers"].append(std::move(row));
        }
        for (const std::string &node : cell.nodes) one["nodes"].append(node);
        cells["cells"].append(std::move(one));
    }
    Json::Value root;
    root["lend_limits"] = experiment_.peers && parts_.talk;
    root["cells"] = std::move(cells);
    const std::string operators = folder_ / "operator.json";
    std::ofstream(operators) << root.toStyledString();
    keeper_.command = {program, "keeper", "--operator", operators};
    keeper_.log = folder_ / "keeper.log";
    std::map<int, int> position;
    for (std::size_t number = 0; number < brokers_.size(); ++number) {
        Broker &broker = brokers_[number];
        Json::Value c;
        c["name"] = broker.name;
        c["listen"] = fmt::format("127.0.0.1:{}", broker.port);
        c["discovery"] = fmt::format("127.0.0.1:{}", lists_->port(number));
        c["seed"] = fmt::format("{:x}", stream(seed_, 4, static_cast<std::uint32_t>(broker.port))());
        c["known"] = config::parse(R"({"revision":1,"complete":true,"members":[)" + listed(number) +
                                   "]}"); // as last heard
        c["limits"]["sockets"] = 1024;
        c["limits"]["memory_mb"] = 192;
        c["settings"] = experiment_.settings;
        c["settings"]["instances"] = experiment_.brokers; // that share the cell's nodes
        c["settings"]["position"] = position[broker.cell]++;
        c["control"] = fmt::format("127.0.0.1:{}", broker.control);
        c["settings"]["bounds"]["peers"] = experiment_.peers && parts_.talk;
        if (experiment_.peers) {
            const int own = static_cast<int>(number);
            c["peer_listen"] = fmt::format("127.0.0.1:{}", broker.peer);
            c["peers_all"] = fmt::format("127.0.0.1:{}", datagrams_->port_to_all(own));
            for (std::size_t other = 0; other < brokers_.size(); ++other)
                if (brokers_[other].cell == broker.cell)
                    c["peers"].append(
                        fmt::format("127.0.0.1:{}", datagrams_->port(own, static_cast<int>(other))));
        }
        const std::string file = folder_ / (broker.name + ".json");
        std::ofstream(file) << c.toStyledString();
        broker.process.command = {program, "serve", "--config", file, "--operator", operators};
        broker.process.log = folder_ / (broker.name + ".log");
    }
}

std::string World::listed(std::size_t broker) const {
    std::string members;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        members += fmt::format(
            R"({}{{"id":"{}","host_port":"127.0.0.1:{}","locality":"a","cell":{},"phase":"{}","up_since_ms":{}}})",
            n ? "," : "", nodes_[n]->name(),
            streams_.empty() ? nodes_[n]->port() : streams_[broker * nodes_.size() + n]->port(),
            experiment_.shards ? n % static_cast<std::size_t>(experiment_.nodes) : 0,
            nodes_[n]->draining() ? "draining" : "up", nodes_[n]->up_since() / 1000);
    return members;
}

// The broker that a try comes through.
int World::broker_for(const Volume &volume, std::uint64_t luck) const {
    const std::size_t all = volume.brokers.size();
    if (volume.busiest > 0 &&
        static_cast<double>(luck >> 40) < volume.busiest * static_cast<double>(1 << 24)) {
        const Micros turn = volume.shift > 0 ? (clock_.now() - start_) / volume.shift : 0;
        return volume.brokers[(static_cast<std::size_t>(volume.id) + static_cast<std::size_t>(turn)) % all];
    }
    return volume.brokers[luck % all];
}

void World::changed() {
    // Grace as the rule says, and what the way there takes.
    const Micros grace = settings_.drain_grace + kOnItsWay;
    std::vector<std::pair<EmulatedNode *, int>> drains;
    for (const auto &node : nodes_)
        if (node->draining()) drains.emplace_back(node.get(), node->drains());
    lists_->change([this](std::size_t broker) { return listed(broker); },
                   [grace, drains = std::move(drains)] {
                       for (const auto &[node, drain] : drains) node->told_of_drain(drain, grace);
                   });
}

asio::awaitable<std::optional<std::pair<int, std::string>>>
World::keeper(std::string method, std::string path, std::string body) {
    tcp::socket socket(io_);
    const Micros until = clock_.now() + 1'500'000;
    const std::string text =
        fmt::format("{} /admin/{} HTTP/1.1\r\nHost: keeper\r\nContent-Length: {}\r\n\r\n{}", method, path,
                    body.size(), body);
    const auto error = co_await net::dial(socket, local(keeper_control_), until, deadlines_);
    if (error) co_return std::nullopt;
    const auto response = co_await net::http::exchange(socket, text, until, deadlines_);
    if (!response) co_return std::nullopt;
    co_return std::pair(response->status, response->body);
}

// Until every broker serves and the keeper has heard them.
asio::awaitable<bool> World::ready() {
    for (int n = 0; n < 300; ++n) {
        co_await rest(50'000);
        const auto list = co_await keeper("GET", "cells", "");
        if (!list || list->second.find("not settled") != std::string::npos) continue;
        bool all = true;
        for (Broker &broker : brokers_) {
            const Got got = co_await ask(broker, "*1\r\n$4\r\nPING\r\n", clock_.now() + 500'000);
            all = all && got.text == "PONG";
        }
        const std::string wanted = fmt::format(" ready nodes {0}/{0}", experiment_.nodes);
        std::size_t cells = 0;
        for (std::size_t at = 0; (at = list->second.find(wanted, at)) != std::string::npos; ++at) ++cells;
        if (all && cells == map_.cells.size()) co_return true;
    }
    co_return false;
}

// One command on a connection of its own, kept for the next.
asio::awaitable<World::Got> World::ask(Broker &broker, std::string command, Micros until) {
    const Micros begun = clock_.now();
    std::unique_ptr<tcp::socket> socket;
    bool reused = false;
    while (!broker.idle.empty() && !socket) {
        auto [used, kept] = std::move(broker.idle.back());
        broker.idle.pop_back();
        if (begun - used > kKeepIdle) {
            broker.idle.clear();
            break;
        }
        char byte;
        const auto got = ::recv(kept->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0) oracle_->surplus(); // an answer that nobody asked for
        if (got < 0) socket = std::move(kept), reused = true;
    }
    boost::system::error_code error;
    if (!socket) {
        socket = std::make_unique<tcp::socket>(io_);
        error = co_await net::dial(*socket, local(broker.port), std::min(until, begun + 500'000), deadlines_);
        if (error) co_return Got{Got::Kind::Refused, {}};
    }
    const auto limit = deadlines_.at(until, [raw = socket.get()] {
        boost::system::error_code ignored;
        raw->close(ignored);
    });
    co_await asio::async_write(*socket, asio::buffer(command),
                               asio::redirect_error(asio::use_awaitable, error));
    net::resp::Reader reader(net::resp::kMostAnswer);
    std::string in;
    std::optional<net::resp::Value> value;
    while (!error && !value) {
        error = co_await net::read_more(*socket, in);
        std::string_view bytes = in;
        try {
            value = reader.take(bytes);
        } catch (const net::resp::Malformed &) {
            co_return Got{Got::Kind::Broken, {}};
        }
        in.erase(0, in.size() - bytes.size());
    }
    if (!value) {
        if (clock_.now() >= until) co_return Got{Got::Kind::Silent, {}};
        co_return Got{reused ? Got::Kind::Crossed : Got::Kind::Broken, {}};
    }
    if (!in.empty()) oracle_->surplus();
    broker.idle.emplace_back(clock_.now(), std::move(socket));
    if (value->kind == net::resp::Value::Kind::Error)
        co_return Got{value->text.starts_with("BUSY") ? Got::Kind::Busy : Got::Kind::Error, value->text};
    co_return Got{Got::Kind::Value, value->text};
}

// A client with one request: its tries, until it is served or has no time left.
asio::awaitable<void> World::request(const Drawn &drawn) {
    Asking asking = drawn;
    asking.at += start_;
    const Volume &volume = volumes_[static_cast<std::size_t>(drawn.volume)];
    const ClassSettings &cls = settings_.classes[drawn.write ? 1 : 0];
    const Micros leaves = asking.at + cls.deadline;
    std::uint64_t luck = drawn.luck;
    bool served = false;
    oracle_->asked(asking);
    for (int tries = 0; tries < kMostTries && !served; ++tries) {
        const Micros now = clock_.now(), left = leaves - now;
        if (left < 5'000) break;
        Broker &broker = brokers_[static_cast<std::size_t>(broker_for(volume, luck))];
        luck = luck * 6364136223846793005u + 1442695040888963407u;
        const std::string id = fmt::format("{:016x}", ++last_id_ * 0x9e3779b97f4a7c15);
        tries_.emplace(id, asking.at);
        std::string list =
            fmt::format("c={},t={},d={}", cls.name,
                        settings_.plans[static_cast<std::size_t>(volume.plan)].name, left / 1000);
        if (drawn.write) list += ",k=" + drawn.key;
        const auto shard =
            experiment_.shards ? drawn.luck % static_cast<std::uint64_t>(experiment_.nodes) : 0;
        list += fmt::format(",volume={},units={},shard={},hosts={}", volume.spelt, drawn.units, shard,
                            volume.brokers.size());
        const std::string command = drawn.write
                                        ? net::resp::command({"OBJ.PUT", drawn.piece, id, list, "body"})
                                        : net::resp::command({"OBJ.GET", drawn.piece, id, list});
        Got got = co_await ask(broker, command, leaves + kPatience);
        if (got.kind == Got::Kind::Crossed)
            got = co_await ask(broker, command, leaves + kPatience); // once more
        Micros wait = 20'000;
        switch (got.kind) {
        case Got::Kind::Value:
            oracle_->answered();
            served = true;
            if (!drawn.write && got.text != "v:" + drawn.piece) oracle_->wrong();
            break;
        case Got::Kind::Busy:
            oracle_->answered();
            oracle_->refused(clock_.now(), asking);
            wait = got.text.size() > 5 ? 1000 * std::clamp(std::atoll(got.text.c_str() + 5), 1LL, 10'000LL)
                                       : 50'000;
            break;
        case Got::Kind::Error:
            oracle_->answered();
            break;
        case Got::Kind::Refused:
            break;
        default:
            if (broker.killed > 0 && clock_.now() - broker.killed < 3'000'000)
                oracle_->broken();
            else if (broker.stopped > 0 && now < broker.woken && clock_.now() >= broker.stopped)
                oracle_->paused();
            else
                oracle_->unanswered();
        }
        if (!served) {
            if (clock_.now() + wait >= leaves) break;
            co_await rest(wait);
        }
    }
    oracle_->ended(clock_.now(), asking, served);
    --open_;
}

asio::awaitable<void> World::fault(Fault f) {
    co_await rest(start_ + micros(f.at) - clock_.now());
    const auto broker = [&]() -> Broker & {
        return brokers_[static_cast<std::size_t>(f.cell * experiment_.brokers +
                                                 f.index % experiment_.brokers)];
    };
    const auto node = [&](int n) -> EmulatedNode & {
        return *nodes_[static_cast<std::size_t>(f.cell * experiment_.nodes + n % experiment_.nodes)];
    };
    fmt::print("  {:6.2f} s {} cell {} index {} for {} s\n", f.at, f.what, f.cell, f.index, f.length);
    if (f.what == "kill-keeper") {
        co_await count_moves(); // its counts go with it
        keeper_.kill();
        co_await rest(micros(f.length));
        keeper_.start();
    } else if (f.what == "stop-keeper") {
        keeper_.signal(SIGSTOP);
        co_await rest(micros(f.length));
        keeper_.signal(SIGCONT);
    } else if (f.what == "stop-broker") {
        broker().stopped = clock_.now(), broker().woken = INT64_MAX;
        broker().process.signal(SIGSTOP);
        co_await rest(micros(f.length));
        broker().process.signal(SIGCONT);
        broker().woken = clock_.now();
    } else if (f.what == "restart-broker") {
        broker().killed = clock_.now();
        broker().process.kill();
        broker().idle.clear();
        co_await rest(micros(f.length));
        broker().process.start();
        broker().killed = clock_.now();
    } else if (f.what == "drain-cell") {
        for (int n = 0; n < experiment_.nodes; ++n) node(n).drain(true);
        changed();
        co_await rest(micros(f.length));
        for (int n = 0; n < experiment_.nodes; ++n) { // back, and cold
            node(n).restart(0);
            node(n).drain(false);
        }
        changed();
        for (int n = 0; n < 20; ++n) {
            const auto reply = co_await keeper("POST", "cells/restore", fmt::format("c{}", f.cell));
            if (reply && reply->first == 200) break;
            co_await rest(200'000);
        }
    } else if (f.what == "drain-node") {
        node(f.index).drain(true);
        changed();
        co_await rest(micros(f.length));
        node(f.index).restart(0);
        node(f.index).drain(false);
        changed();
    } else if (f.what == "silence-lists") {
        lists_->silence(micros(f.length));
    } else if (f.what == "restart-node") {
        node(f.index).restart(micros(f.length));
        changed();
    } else if (f.what == "move-surging") {
        for (const Drawn &d : drawn_) {
            if (!d.surge) continue;
            const std::string &volume = volumes_[static_cast<std::size_t>(d.volume)].spelt;
            const auto reply = co_await keeper("POST", "cells/move", fmt::format("{} c{}", volume, f.cell));
            if (!reply || reply->first != 200) ++moves_lost_;
            break;
        }
    } else if (f.what == "pause-node") {
        node(f.index).pause(micros(f.length));
    } else if (f.what == "slow-node") {
        node(f.index).slow(f.times);
        co_await rest(micros(f.length));
        node(f.index).slow(1);
    } else if (f.what == "restart-nodes") {
        for (int n = 0; n < experiment_.nodes; ++n)
            if (f.to.empty() || f.to.contains(n)) node(n).restart(micros(f.length));
        changed();
    } else if (f.what == "break-streams") {
        for (std::size_t n = 0; n < streams_.size(); ++n)
            if ((f.from.empty() || f.from.contains(static_cast<int>(n / nodes_.size()))) &&
                (f.to.empty() || f.to.contains(static_cast<int>(n % nodes_.size()))))
                streams_[n]->break_all();
    }
    --busy_;
}

asio::awaitable<void> World::count_moves() {
    const auto stats = co_await keeper("GET", "stats", "");
    if (!stats) co_return;
    const auto figure = [&](const char *name) {
        const std::size_t at = stats->second.find(name);
        return at == std::string::npos ? 0.0 : std::atof(stats->second.c_str() + at + std::strlen(name));
    };
    completed_before_ += figure("moves_completed:");
    undone_before_ += figure("moves_undone:");
}

asio::awaitable<void> World::move(double at, std::uint64_t luck) {
    co_await rest(start_ + micros(at) - clock_.now());
    bool begun = false;
    const Micros until = clock_.now() + 15'000'000; // the keeper may be away for a while
    while (!begun && clock_.now() < until) {
        const Volume &volume = volumes_[luck % volumes_.size()];
        const std::string to = fmt::format("c{}", (luck >> 32) % map_.cells.size());
        luck = luck * 6364136223846793005u + 1442695040888963407u;
        const auto reply = co_await keeper("POST", "cells/move", volume.spelt + " " + to);
        begun = reply && reply->first == 200 && reply->second.find("begun") != std::string::npos;
        if (!reply || reply->second.starts_with("not yet")) co_await rest(100'000);
        if (!begun) ++moves_refused_;
    }
    if (!begun) ++moves_lost_;
    --busy_;
}

asio::awaitable<void> World::play() {
    lists_->start([this](std::size_t broker) { return listed(broker); });
    if (datagrams_) datagrams_->start();
    for (auto &way : streams_) way->start();
    for (auto &node : nodes_) node->start();
    keeper_.start();
    for (Broker &broker : brokers_) broker.process.start();
    std::vector<int> cell_of, plan_of;
    for (const Volume &v : volumes_) cell_of.push_back(v.cell), plan_of.push_back(v.plan);
    oracle_.emplace(experiment_, settings_, cell_of, plan_of, clock_.now());
    if (!co_await ready())
        throw std::runtime_error("brokers and keeper are not ready: see the logs in " + folder_.string());
    start_ = clock_.now() + 50'000;
    oracle_.emplace(experiment_, settings_, cell_of, plan_of, start_);
    if (datagrams_) datagrams_->begin(start_);
    if (parts_.surges)
        for (const Surge &surge : experiment_.surges) oracle_->surge_over(micros(surge.at + surge.length));
    if (parts_.faults)
        for (const Fault &f : experiment_.faults) ++busy_, asio::co_spawn(io_, fault(f), reraise);
    if (parts_.moves) {
        std::mt19937_64 random = stream(seed_, 5);
        for (int n = 0; n < experiment_.moves; ++n) {
            const double part = (n + 0.5) / experiment_.moves;
            const double at = experiment_.moves_from + part * (experiment_.moves_to - experiment_.moves_from);
            ++busy_, asio::co_spawn(io_, move(at, random()), reraise);
        }
    }
    Micros late = 0;
    for (const Drawn &drawn : drawn_) {
        const Micros wait = start_ + drawn.at - clock_.now();
        if (wait > 0) co_await rest(wait);
        late = std::max(late, clock_.now() - start_ - drawn.at);
        ++open_;
        asio::co_spawn(io_, request(drawn), reraise);
    }
    while (open_ > 0 || busy_ > 0) co_await rest(20'000);
    metrics_ = oracle_->metrics();
    metrics_["lab.late_ms"] = static_cast<double>(late) / 1000;
    metrics_["moves.refused"] = moves_refused_;
    metrics_["moves.not_begun"] = moves_lost_;
    double cold = 0;
    for (const auto &node : nodes_) cold = std::max(cold, node->cold_worst());
    metrics_["cold.worst"] = cold;
    // Of what a cold node bears from all brokers together, as the settings say, the part that came there.
    double came = 0, bears = 0;
    const Micros until = start_ + micros(experiment_.seconds);
    for (const auto &node : nodes_) {
        const Micros from = node->cold_time();
        if (from == 0 || from >= until || settings_.fall_window <= 0 || settings_.warm_after <= 0) continue;
        const double length = static_cast<double>(std::min(settings_.warm_after, until - from));
        const double grown =
            (1 / settings_.cold_from - 1) * length / static_cast<double>(settings_.warm_after);
        came += node->cold_units();
        bears += settings_.cold_units * (1 + grown / 2) * length / static_cast<double>(settings_.fall_window);
    }
    if (bears > 0) metrics_["cold.used"] = came / bears;
    if (datagrams_) {
        metrics_["datagrams.sent"] = static_cast<double>(datagrams_->sent());
        metrics_["datagrams.bytes"] = static_cast<double>(datagrams_->bytes());
        metrics_["datagrams.lost"] = static_cast<double>(datagrams_->lost());
    }
    double late_sends = 0;
    for (const auto &node : nodes_) late_sends += node->sent_after_drain();
    metrics_["drain.late"] = late_sends;
    // What the keeper says, once it has no move under way; a move whose broker was killed may take a while.
    for (int n = 0; n < 200; ++n) {
        co_await rest(100'000);
        const auto stats = co_await keeper("GET", "stats", "");
        if (!stats) continue;
        std::map<std::string, double> told;
        std::istringstream lines(stats->second);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos && line.starts_with("keeper."))
                told[line.substr(7, colon - 7)] = std::atof(line.c_str() + colon + 1);
        }
        metrics_["moves.left"] = told["moving"];
        metrics_["moves.completed"] = told["moves_completed"] + completed_before_;
        metrics_["moves.undone"] = told["moves_undone"] + undone_before_;
        if (told["moving"] == 0) break;
    }
    io_.stop();
}

std::map<std::string, double> World::run() {
    asio::co_spawn(io_, play(), reraise);
    io_.run();
    end();
    return metrics_;
}

void World::end() {
    for (Broker &broker : brokers_) broker.process.signal(SIGCONT), broker.process.kill();
    keeper_.signal(SIGCONT), keeper_.kill();
}

} // namespace marblewood::lab
