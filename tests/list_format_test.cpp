/// \file
/// The encoding of served lists and documents, of the reports in queries, and of datagrams between brokers.
/// Data written by older versions must be readable, and the encoding must not change.
#include "config/operations.hpp"
#include "gossip/gossip_transport.hpp"
#include "list_distribution/list_call.hpp"
#include "list_distribution/list_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace marblewood {
namespace {

namespace lists = list_distribution;
using asio_udp = boost::asio::ip::udp;

const std::filesystem::path kFixtures = std::filesystem::path(MARBLEWOOD_FIXTURES) / "lists";
constexpr std::size_t kMaxRemoved = 16;
constexpr std::size_t kMaxBytes = 1 << 20;

std::string read_file(const std::string &name) {
    std::ostringstream text;
    text << std::ifstream(kFixtures / name, std::ios::binary).rdbuf();
    return text.str();
}

distribution::Update read_nodes(const std::string &name) {
    config::Names nodes;
    config::Names zones;
    return lists::to_update(discovery::decode_node_list(config::parse(read_file(name)), nodes, zones));
}

TEST(ListFormat, SavedNodesAreReadFieldByField) {
    config::Names nodes;
    config::Names zones;
    const auto list =
        discovery::decode_node_list(config::parse(read_file("nodes_complete.json")), nodes, zones);
    EXPECT_EQ(list.revision, 41);
    EXPECT_EQ(list.update.kind, ListUpdate::Kind::Full);
    ASSERT_EQ(list.update.entries.size(), 2u);
    const NodeEntry &first = list.update.entries[0];
    EXPECT_EQ(nodes.text(static_cast<std::uint32_t>(first.node)), "s-5be2a07c");
    EXPECT_EQ(zones.text(static_cast<std::uint32_t>(first.zone)), "a");
    EXPECT_EQ(first.shard, ShardId{3});
    EXPECT_EQ(first.state, NodeState::Ready);
    EXPECT_EQ(first.started, 1'791'000'000'123'000);
    EXPECT_EQ(first.stable_id, 4'983'315'632'652'834'798u);
    EXPECT_FALSE(first.restored);
    EXPECT_EQ(list.addresses[0].host_port, "10.1.0.18:6379");
    EXPECT_EQ(list.update.entries[1].state, NodeState::Draining);
}

TEST(ListFormat, CompleteListIsServedInTheseBytes) {
    distribution::ChangeLog log(kMaxRemoved);
    ASSERT_EQ(log.apply(read_nodes("nodes_complete.json")), distribution::UpdateResult::Applied);
    EXPECT_EQ(lists::encode(log.complete_list()) + "\n", read_file("nodes_complete_served.json"));
}

TEST(ListFormat, ChangesAreServedInTheseBytes) {
    distribution::ChangeLog log(kMaxRemoved);
    log.apply(read_nodes("nodes_complete.json"));
    ASSERT_EQ(log.apply(read_nodes("nodes_changes.json")), distribution::UpdateResult::Applied);
    EXPECT_EQ(lists::encode(log.changes(41, kMaxBytes, 41)) + "\n", read_file("nodes_changes_served.json"));
}

TEST(ListFormat, ServedListIsReadAsItWasSent) {
    const auto sent = read_nodes("nodes_complete.json");
    const auto served = read_nodes("nodes_complete_served.json");
    EXPECT_EQ(served.revision, sent.revision);
    EXPECT_EQ(served.complete, sent.complete);
    ASSERT_EQ(served.members.size(), sent.members.size());
    for (const distribution::Member &member : sent.members) {
        const auto same = std::find_if(served.members.begin(), served.members.end(),
                                       [&](const auto &other) { return other.id == member.id; });
        ASSERT_NE(same, served.members.end());
        EXPECT_EQ(same->text, member.text);
        EXPECT_EQ(same->phase, member.phase);
        EXPECT_EQ(same->shard, member.shard);
    }
}

TEST(ListFormat, DocumentFileIsReadAndServedInTheseBytes) {
    const config::DocumentFile file = config::load_documents(kFixtures / "documents.json");
    EXPECT_EQ(file.version, 7);
    EXPECT_EQ(config::read_operations(file.operations).cordons,
              (std::set<std::string>{"s-5be2a07c", "s-77c1d0aa"}));
    distribution::ChangeLog log(kMaxRemoved);
    log.apply({file.version, true, {lists::document_member(config::kOperationsDocument, file.operations)}});
    EXPECT_EQ(lists::encode(log.complete_list()) + "\n", read_file("documents_served.json"));
}

TEST(ListFormat, ServedDocumentsAreRead) {
    const auto answer = lists::decode_documents(config::parse(read_file("documents_served.json")));
    EXPECT_EQ(answer.revision, 7);
    EXPECT_EQ(answer.update.kind, ListUpdate::Kind::Full);
    ASSERT_EQ(answer.members.size(), 1u);
    EXPECT_EQ(answer.members[0]["id"].asString(), "operations");
    EXPECT_EQ(config::read_operations(answer.members[0]["document"]).cordons.size(), 2u);
}

TEST(ListFormat, ReportsAreWrittenInTheseBytes) {
    EXPECT_EQ(lists::encode_query(lists::Report{"n0", 12, std::nullopt}), "caller=n0&applied=12");
    const distribution::SubtreeReport subtree{{{3, 100}, {4, 7}}, {{"n7", 5'000'000}, {"n 8", 1'500}}};
    EXPECT_EQ(lists::encode_query(lists::Report{"d 1", std::nullopt, subtree}),
              "caller=d_1&below=3:100,4:7&lacking=n7:5000,n_8:1");
}

/// The sockets of two brokers on loopback.
class GossipFormat : public ::testing::Test {
protected:
    static asio_udp::endpoint loopback() { return {boost::asio::ip::address_v4::loopback(), 0}; }
    boost::asio::io_context io_;
    asio_udp::socket sender_{io_, loopback()};
    asio_udp::socket receiver_{io_, loopback()};
};

TEST_F(GossipFormat, DatagramsCarryTheMessageAlone) {
    gossip::GossipTransport transport(std::move(sender_), {receiver_.local_endpoint()}, std::nullopt,
                                      [](PeerMessage) {});
    const std::string message("\x01\x00\xff text", 8);
    transport.send(0, message);
    char data[512];
    const std::size_t size = receiver_.receive(boost::asio::buffer(data));
    EXPECT_EQ(std::string(data, size), message);
    EXPECT_EQ(transport.datagrams_sent(), 1u);
    EXPECT_EQ(transport.bytes_sent(), message.size());
}

TEST_F(GossipFormat, TheLongestDatagramHas256Bytes) {
    gossip::GossipTransport transport(std::move(sender_), {receiver_.local_endpoint()}, std::nullopt,
                                      [](PeerMessage) {});
    transport.send(0, std::string(257, 'x'));
    EXPECT_EQ(transport.datagrams_sent(), 0u);
    transport.send(0, std::string(256, 'y'));
    char data[512];
    EXPECT_EQ(receiver_.receive(boost::asio::buffer(data)), 256u);
    EXPECT_EQ(data[0], 'y');
}

TEST_F(GossipFormat, AReceivedDatagramIsTheMessageOfItsSender) {
    std::optional<PeerMessage> received;
    const asio_udp::endpoint receiver = receiver_.local_endpoint();
    const gossip::GossipTransport transport(std::move(receiver_), {receiver, sender_.local_endpoint()},
                                            std::nullopt, [&](PeerMessage message) {
                                                received = std::move(message);
                                                io_.stop();
                                            });
    sender_.send_to(boost::asio::buffer("hello", 5), receiver);
    io_.run();
    ASSERT_TRUE(received);
    EXPECT_EQ(received->from, 1);
    EXPECT_EQ(received->data, "hello");
}

} // namespace
} // namespace marblewood
