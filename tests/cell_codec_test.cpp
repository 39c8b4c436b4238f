/// \file
/// Encoding of frames and state files: sizes, corrupted input and the length prefix.
#include "cell_cluster.hpp"
#include "cell_maps.hpp"
#include "net/link/framing.hpp"

using namespace test;

// Encodes a map of 8 cells with 4,000 pinned volumes.
TEST(CellCodec, AMapStaysSmallOnTheWire) {
    CellMap map = many_cells(8, 4);
    const auto bytes = [&] {
        return net::link::encode(net::link::Frame{"", Message(MapSnapshot{map, {}})}).size();
    };
    const std::size_t bare = bytes();
    for (std::uint64_t n = 1; n <= 4000; ++n)
        map.pins[nth_volume(n)] = fmt::format("cell-{}", n % 8);
    const std::size_t full = bytes();
    fmt::print("map of 8 cells: {} bytes, with 4,000 pins {} bytes\n", bare, full);
    EXPECT_LT(bare, 4096u);
    EXPECT_LE(full - bare, 4000 * 8 + 8 * 32u);
    const auto back =
        net::link::decode_frame(net::link::encode(net::link::Frame{"x", Message(MapSnapshot{map, {}})}));
    const CellMap &read = std::get<MapSnapshot>(std::get<Message>(back.body)).map;
    EXPECT_EQ(read.pins, map.pins);
    EXPECT_EQ(read.cells, map.cells);
}

TEST(CellCodec, RejectsCorruptedBytes) {
    CellCluster cluster(two_cells(1, 1));
    ASSERT_TRUE(cluster.move("b").ok);
    const std::string coordinator = net::link::encode(cluster.coordinator.state());
    const std::string broker = net::link::encode(cluster.brokers.at("a1").state());
    EXPECT_EQ(net::link::encode(net::link::decode_coordinator_state(coordinator)), coordinator);
    EXPECT_EQ(net::link::encode(net::link::decode_member_state(broker)), broker);
    std::mt19937_64 random(3);
    for (int n = 0; n < 2000; ++n) {
        std::string bad = n % 2 ? coordinator : broker;
        if (n % 3 == 0)
            bad.resize(random() % bad.size());
        else
            bad[random() % bad.size()] ^= static_cast<char>(1 + random() % 255);
        try {
            if (n % 2)
                EXPECT_EQ(net::link::encode(net::link::decode_coordinator_state(bad)), coordinator);
            else
                EXPECT_EQ(net::link::encode(net::link::decode_member_state(bad)), broker);
        } catch (const net::link::DecodeError &) { // corruption was detected
        }
        try {
            net::link::decode_frame(bad);
        } catch (const net::link::DecodeError &) {}
    }
}

TEST(CellCodec, AFrameHasItsLengthInFrontBigEndian) {
    EXPECT_EQ(net::link::add_length_prefix("abc"), std::string("\0\0\0\3abc", 7));
    const std::string framed = net::link::add_length_prefix(std::string(0x010203, 'x'));
    EXPECT_EQ(framed.substr(0, 4), std::string("\0\1\2\3", 4));
    EXPECT_EQ(net::link::first_frame(framed), std::string(0x010203, 'x'));
    EXPECT_EQ(net::link::first_frame(framed.substr(0, framed.size() - 1)), std::nullopt);
    EXPECT_EQ(net::link::first_frame(framed.substr(0, 3)), std::nullopt);
    EXPECT_THROW(net::link::first_frame(std::string("\x7f\xff\xff\xff", 4)), net::link::FrameTooLarge);
}
