#include "net/resp/front.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <deque>
#include <fmt/format.h>

namespace marblewood::net::resp {
namespace {

constexpr std::size_t kMostPipelined = 256;  // commands of one connection worked at once
constexpr Micros kWholeWithin = 10'000'000;  // us for a begun command to come whole
constexpr Micros kReadWithin = 10'000'000;   // us for a client to read what it is sent
constexpr Micros kLinger = 200'000;          // us for a client to see the end of a connection

template <typename T> T number(std::string_view text, const char *name, int base = 10) {
    T value{};
    const char *const last = text.data() + text.size();
    const auto [end, error] = [&] {
        if constexpr (std::is_floating_point_v<T>)
            return std::from_chars(text.data(), last, value);
        else
            return std::from_chars(text.data(), last, value, base);
    }();
    if (text.empty() || error != std::errc() || end != last)
        throw Malformed(fmt::format("invalid {}", name));
    return value;
}
std::uint64_t hex16(std::string_view text, const char *name) {
    if (text.size() != 16) throw Malformed(fmt::format("invalid {}", name));
    return number<std::uint64_t>(text, name, 16);
}
template <typename Rows> int named(const Rows &rows, std::string_view name, const char *what) {
    for (std::size_t n = 0; n < rows.size(); ++n)
        if (rows[n].name == name) return static_cast<int>(n);
    throw Malformed(fmt::format("unknown {}", what));
}

std::string spell(const core::Outcome &outcome) {
    std::string out;
    if (outcome.kind == core::Outcome::Kind::Served)
        put_bulk(out, outcome.value);
    else if (outcome.kind == core::Outcome::Kind::Failed)
        out = "-ERR failed\r\n";
    else if (outcome.retry_after > 0)
        out = fmt::format("-BUSY {}\r\n", (outcome.retry_after + 999) / 1000);
    else
        out = "-BUSY\r\n";
    return out;
}

std::string upper(std::string text) {
    for (char &c : text)
        if (c >= 'a' && c <= 'z') c = static_cast<char>(c - 'a' + 'A');
    return text;
}

// One connection. Answer callbacks may outlive it, so they hold it weakly.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Client &client, Desk desk)
        : client_(client), desk_(std::move(desk)), wake_(client.socket.get_executor()) {}

    asio::awaitable<void> run() {
        client_.nudge = [this] {
            boost::system::error_code ignored;
            if (client_.idle()) client_.socket.cancel(ignored);
        };
        while (!over_) {
            boost::system::error_code error;
            if (client_.closing) { // between requests: only what has come already is still taken
                client_.socket.non_blocking(true, error);
                std::size_t got;
                while ((got = read_now(error)) > 0 && !over_) take_all();
                if (over_ || client_.idle()) break;
            }
            std::size_t got = 0;
            {
                core::Deadlines::Entry whole;
                if (client_.partial)
                    whole = desk_.deadlines.at(since_ + kWholeWithin, [this] { client_.close(); });
                got = co_await client_.socket.async_read_some(
                    asio::buffer(chunk_), asio::redirect_error(asio::use_awaitable, error));
            }
            if (error == asio::error::operation_aborted && client_.closing && client_.socket.is_open()) continue;
            if (error) {
                leave();
                break;
            }
            received(got);
            take_all();
            while (slots_.size() >= kMostPipelined && !over_) co_await wake_.take();
        }
        co_await end();
        client_.nudge = nullptr;
    }

private:
    struct Slot {
        std::string bytes;
        bool ready = false;
        core::Planner *planner = nullptr;
        RequestId id{};
    };

    std::size_t read_now(boost::system::error_code &error) {
        const std::size_t got = client_.socket.read_some(asio::buffer(chunk_), error);
        if (got > 0) received(got);
        return got;
    }
    void received(std::size_t got) {
        if (in_.empty()) since_ = desk_.deadlines.clock.now();
        in_.append(chunk_, got);
    }

    void take_all() {
        std::string_view bytes = in_;
        try {
            while (auto value = take(bytes)) {
                command(std::move(*value));
                since_ = std::max(since_, desk_.deadlines.clock.now());
            }
            in_.erase(0, in_.size() - bytes.size());
            client_.partial = !in_.empty();
        } catch (const Malformed &error) { // where the next command begins cannot be known any more
            in_.clear();
            client_.partial = false;
            over_ = true;
            say(fmt::format("-ERR Protocol error: {}\r\n", error.what()));
        }
    }

    void command(Value &&value) {
        if (value.kind != Value::Kind::Array || value.null || value.elements.empty())
            throw Malformed("expected an array of bulk strings");
        for (const Value &word : value.elements)
            if (word.kind != Value::Kind::Bulk || word.null)
                throw Malformed("expected an array of bulk strings");
        const std::string name = upper(value.elements.front().text);
        if (name == "PING") return say("+PONG\r\n");
        if (name == "CLIENT" || name == "SELECT") return say("+OK\r\n");
        if (name == "QUIT") {
            over_ = true;
            return say("+OK\r\n");
        }
        if (name != "OBJ.GET" && name != "OBJ.PUT") return say("-ERR unknown command\r\n");
        try {
            ask(read_request(std::move(value), desk_.settings));
        } catch (const Malformed &error) {
            say(fmt::format("-ERR {}\r\n", error.what()));
        }
    }

    void ask(core::Request &&read) {
        read.sent = since_;
        auto request = std::make_shared<const core::Request>(std::move(read));
        core::Planner &planner = desk_.planner(*request);
        const std::uint64_t number = first_ + slots_.size();
        slots_.push_back({{}, false, &planner, {}});
        ++client_.owed;
        const RequestId id =
            planner.submit(std::move(request), [weak = weak_from_this(), number](core::Outcome outcome) {
                if (const auto self = weak.lock()) self->answer(number, spell(outcome));
            });
        if (number >= first_) slots_[number - first_].id = id;
    }

    void say(std::string bytes) {
        slots_.push_back({});
        ++client_.owed;
        answer(first_ + slots_.size() - 1, std::move(bytes));
    }

    void answer(std::uint64_t number, std::string bytes) {
        if (number < first_ || gone_) return;
        Slot &slot = slots_[number - first_];
        slot.bytes = std::move(bytes);
        slot.ready = true;
        if (!slots_.front().ready || writing_) return;
        writing_ = true;
        asio::co_spawn(client_.socket.get_executor(), write(shared_from_this()), asio::detached);
    }

    // Sends what is ready, in the order asked.
    static asio::awaitable<void> write(std::shared_ptr<Session> self) {
        while (!self->gone_ && !self->slots_.empty() && self->slots_.front().ready) {
            std::string out;
            std::size_t answers = 0;
            while (!self->slots_.empty() && self->slots_.front().ready) {
                out += self->slots_.front().bytes;
                self->slots_.pop_front();
                ++self->first_;
                ++answers;
            }
            boost::system::error_code error;
            const auto limit = self->desk_.deadlines.in(kReadWithin, [&self] { self->client_.close(); });
            co_await asio::async_write(self->client_.socket, asio::buffer(out),
                                       asio::redirect_error(asio::use_awaitable, error));
            self->client_.owed -= answers;
            if (error) self->client_.close(); // the reader sees it and tells that the client has gone
        }
        self->writing_ = false;
        self->wake_.put(true);
        if (self->client_.closing && self->client_.nudge) self->client_.nudge();
    }

    void leave() {
        if (std::exchange(gone_, true)) return;
        for (const Slot &slot : slots_)
            if (slot.planner && !slot.ready) slot.planner->client_left(slot.id);
    }

    // Whatever was asked is answered, then the client sees the end; what it wrote meanwhile was not read.
    asio::awaitable<void> end() {
        while (!gone_ && (writing_ || !slots_.empty())) co_await wake_.take();
        while (writing_) co_await wake_.take();
        if (gone_) co_return;
        boost::system::error_code error;
        client_.socket.shutdown(tcp::socket::shutdown_send, error);
        const auto limit = desk_.deadlines.in(kLinger, [this] { client_.close(); });
        while (!error)
            co_await client_.socket.async_read_some(asio::buffer(chunk_),
                                                    asio::redirect_error(asio::use_awaitable, error));
    }

    Client &client_;
    Desk desk_;
    std::deque<Slot> slots_;
    std::uint64_t first_ = 0; // the number of the first slot
    std::string in_;
    Micros since_ = 0; // when the first byte of `in_` came
    core::Mailbox<bool> wake_;
    bool writing_ = false, over_ = false, gone_ = false;
    char chunk_[16384];
};

} // namespace

asio::awaitable<void> serve(Client &client, Desk desk) {
    const auto session = std::make_shared<Session>(client, std::move(desk));
    co_await session->run();
}

core::Request read_request(Value &&command, const Settings &settings) {
    std::vector<Value> &words = command.elements;
    const bool write = upper(words[0].text) == "OBJ.PUT";
    if (words.size() != (write ? 5u : 4u)) throw Malformed("wrong number of arguments");
    core::Request r;
    RequestArrived &f = r.facts;
    f.write = write;
    f.key = DataKey{hex16(words[1].text, "piece")};
    r.piece = std::move(words[1].text);
    r.id = std::move(words[2].text);
    if (r.id.empty() || r.id.size() > 64) throw Malformed("invalid id");
    if (write) r.body = std::move(words[4].text);
    f.cls = f.plan = -1;
    for (std::string_view list = words[3].text; !list.empty();) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) throw Malformed("invalid list of names and values");
        const std::string_view name = item.substr(0, equals), value = item.substr(equals + 1);
        if (name == "c")
            f.cls = named(settings.classes, value, "class");
        else if (name == "t")
            f.plan = named(settings.plans, value, "plan");
        else if (name == "d") {
            const double ms = number<double>(value, "d");
            if (!(ms >= 0 && ms < 1e9)) throw Malformed("invalid d");
            r.wait = std::llround(ms * 1000);
        } else if (name == "k")
            r.repeat_key = value;
        else if (name == "r")
            f.retry = value == "1";
        else if (name == "volume")
            f.volume = VolumeId{hex16(value, "volume")};
        else if (name == "units") {
            f.units = number<double>(value, "units");
            if (!(f.units > 0 && f.units <= 1e6)) throw Malformed("invalid units");
        } else if (name == "shard") {
            if (const auto shard = number<std::int64_t>(value, "shard"); shard >= 0) f.shard = ShardId{shard};
        } else if (name == "hosts") {
            f.hosts = number<int>(value, "hosts");
            if (f.hosts < 1 || f.hosts > 1'000'000) throw Malformed("invalid hosts");
        } else
            r.extra.emplace_back(name, value);
    }
    if (f.cls < 0 || f.plan < 0 || r.wait <= 0) throw Malformed("c, t and d are needed");
    return r;
}

} // namespace marblewood::net::resp
