#include "config/config.hpp"
#include "lab/scale/hollow_broker.hpp"
#include "lab/scale/process_usage.hpp"

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <list>

namespace marblewood::lab::scale {
namespace {

constexpr Micros kSample = 1'000'000; // us between samples of the brokers' traffic

HollowConfig read_config(const Json::Value &root) {
    HollowConfig config;
    config.settings =
        config::read_settings(root["settings"], static_cast<std::uint64_t>(root["seed"].asInt64()));
    config.discovery = config::text_or(root, "discovery", "");
    if (root.isMember("distribution"))
        config.distributors = config::read_distribution(root["distribution"]).distributors;
    if (root.isMember("known"))
        config.known = config::parse(config::read_text(config::need_text(root, "known")));
    config.hosts = static_cast<int>(config::need_integer(root, "hosts"));
    config.peer_port = static_cast<int>(config::integer_or(root, "peer_port", config.peer_port));
    config.documents = config::flag_or(root, "documents", false);
    return config;
}

// The brokers of one process, and what they write once a second: bytes sent and received so far.
class HollowProcess {
public:
    explicit HollowProcess(const Json::Value &root) : result_(config::need_text(root, "result")) {
        const HollowConfig config = read_config(root);
        memory_before_kb_ = usage_of(::getpid()).memory_kb;
        for (const Json::Value &row : root["brokers"])
            brokers_.emplace_back(
                io_, deadlines_, config, static_cast<int>(config::need_integer(row, "position")),
                distribution::Locality{config::need_text(row, "zone"), config::need_text(row, "region")});
        traffic_.resize(brokers_.size());
    }

    void run() {
        sample();
        asio::signal_set signals(io_, SIGTERM, SIGINT);
        signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error)
                io_.stop();
        });
        io_.run();
        write();
    }

private:
    static Json::Value to_json(const std::vector<Adoption> &adoptions) { // revision, time, revision, ...
        Json::Value all(Json::arrayValue);
        for (const Adoption &adoption : adoptions) {
            all.append(static_cast<Json::Int64>(adoption.revision));
            all.append(static_cast<Json::Int64>(adoption.at));
        }
        return all;
    }

    void sample() {
        const Micros now = clock_.now();
        if (first_sample_ == 0)
            first_sample_ = now - now % kSample;
        std::size_t number = 0;
        for (const HollowBroker &broker : brokers_) {
            const discovery::DiscoveryMetrics traffic = broker.traffic();
            traffic_[number++].push_back(traffic.sent_bytes + traffic.received_bytes);
        }
        next_ = deadlines_.at(now - now % kSample + kSample, [this] { sample(); });
    }

    void write() const {
        Json::Value root;
        root["memory_before_kb"] = static_cast<Json::Int64>(memory_before_kb_);
        root["first_sample_us"] = static_cast<Json::Int64>(first_sample_);
        std::size_t number = 0;
        for (const HollowBroker &broker : brokers_) {
            Json::Value row;
            row["name"] = broker.name();
            row["went_back"] = broker.went_back();
            row["nodes"] = static_cast<Json::UInt64>(broker.nodes());
            row["calls"] = static_cast<Json::UInt64>(broker.traffic().calls);
            row["failed"] = static_cast<Json::UInt64>(broker.traffic().failed);
            row["datagrams"] = static_cast<Json::UInt64>(broker.datagrams());
            row["adopted"] = to_json(broker.adopted());
            row["configured"] = to_json(broker.configured());
            row["traffic"] = Json::arrayValue;
            for (const std::uint64_t bytes : traffic_[number])
                row["traffic"].append(static_cast<Json::UInt64>(bytes));
            ++number;
            root["brokers"].append(std::move(row));
        }
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        std::ofstream(result_) << Json::writeString(compact, root);
    }

    const std::string result_;
    asio::io_context io_{1};
    core::Clock clock_;
    core::Deadlines deadlines_{io_, clock_};
    std::list<HollowBroker> brokers_;
    std::vector<std::vector<std::uint64_t>> traffic_; // by broker, at each sample
    Micros first_sample_ = 0;
    std::int64_t memory_before_kb_ = 0;
    core::Deadlines::Entry next_;
};

} // namespace

int run_hollow_process(const std::string &file) {
    // Its loop holds coroutines that refer to the brokers, so it is never destroyed.
    auto *const process = new HollowProcess(config::parse(config::read_text(file)));
    process->run();
    return 0;
}

} // namespace marblewood::lab::scale
