#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/protocol/codec/peercodec.h"
#include "sequoiausher/transport/peers/framing.h"
#include "sequoiausher/transport/peers/peermesh.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

#include <functional>
#include <stdexcept>

namespace Sequoiausher {

namespace {

/** One router's links, which count what arrives. */
class StandIn : public PeerListener
{
public:
    explicit StandIn(const std::string &name) : mesh(LinkSettings{InstanceId{name}, 1, DataCentreId{"brest-1"}}, *this)
    {
        this->mesh.listen({"127.0.0.1", 0});
    }

    void received(const InstanceId &, Incarnation, PeerMessage) override
    {
        ++this->messages;
    }
    void linkChanged(const InstanceId &, Incarnation, bool up) override
    {
        this->linksUp += up ? 1 : -1;
    }

    std::size_t messages = 0;
    int linksUp = 0;
    PeerMesh mesh;
};

void waitFor(const std::function<bool()> &holds, const char *what)
{
    constexpr int atMost = 20000;
    QElapsedTimer timer;
    timer.start();
    // Sleeps until an event comes: with a limit of time processEvents() would spin, and its spinning be measured.
    QTimer wake;
    wake.start(atMost);
    while (!holds()) {
        if (timer.elapsed() > atMost) {
            throw std::runtime_error(std::string("links: no ") + what);
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents);
    }
}

/** A hub with that many peers, all in this process. */
class Star
{
public:
    explicit Star(std::size_t count) : hub("hub")
    {
        PeerAddresses addresses;
        for (std::size_t i = 0; i < count; ++i) {
            this->peers.push_back(std::make_unique<StandIn>("peer-" + std::to_string(i)));
            addresses[this->name(i)] = {"127.0.0.1", this->peers.back()->mesh.port()};
        }
        this->hub.mesh.setPeers(addresses);
        for (const auto &peer : this->peers) {
            peer->mesh.setPeers({{InstanceId{"hub"}, {"127.0.0.1", this->hub.mesh.port()}}});
        }
    }

    InstanceId name(std::size_t peer) const
    {
        return InstanceId{"peer-" + std::to_string(peer)};
    }

    void hubSays(const PeerMessage &message)
    {
        for (std::size_t i = 0; i < this->peers.size(); ++i) {
            if (!this->hub.mesh.send(this->name(i), message)) {
                throw std::runtime_error("links: a message found no room");
            }
        }
    }

    /** Every peer has that many messages. */
    void arrived(std::size_t messages)
    {
        waitFor(
            [&] {
                for (const auto &peer : this->peers) {
                    if (peer->messages < messages) {
                        return false;
                    }
                }
                return true;
            },
            "messages at a peer");
    }

    StandIn hub;
    std::vector<std::unique_ptr<StandIn>> peers;
};

const PeerMessage &smallMessage()
{
    static const PeerMessage message = Release{RequestId{1, 2}, PoolId{"plate-model"}, 3};
    return message;
}

/** Both ends live in this process: half of each figure is one router's. */
void linkMemory()
{
    std::vector<SlopeSample> memory;
    std::vector<SlopeSample> dialTime;
    for (const std::size_t peers : {10U, 50U, 100U, 200U}) {
        Star star(peers);
        const double heapBefore = heapBytes();
        const double before = processorMicros();
        star.hubSays(smallMessage());
        for (const auto &peer : star.peers) {
            peer->mesh.send(InstanceId{"hub"}, smallMessage());
        }
        star.arrived(1);
        waitFor([&] { return star.hub.messages == peers; }, "messages at the hub");
        waitFor([&] { return star.hub.linksUp == static_cast<int>(peers); }, "links");
        const auto size = static_cast<double>(peers);
        dialTime.push_back({size, (processorMicros() - before) / 2});
        memory.push_back({size, (heapBytes() - heapBefore) / 2});
    }
    printSlope("link_memory_per_peer", memory, "bytes");
    printSlope("link_dial_time_per_peer", dialTime, "us");
}

void messageTime()
{
    constexpr std::size_t peers = 100;
    constexpr std::size_t rounds = 40;
    std::vector<SlopeSample> time;
    Star star(peers);
    std::size_t sent = 0;
    const auto say = [&](std::size_t messages) {
        for (std::size_t i = 0; i < messages; ++i) {
            star.hubSays(smallMessage());
        }
        sent += messages;
        star.arrived(sent);
    };
    say(1);
    const PeerCounters quiet = star.hub.mesh.counters();
    double first = processorMicros();
    for (const std::size_t perTurn : {1U, 2U, 8U, 32U}) {
        first = processorMicros();
        for (std::size_t round = 0; round < rounds; ++round) {
            say(perTurn);
        }
        time.push_back({static_cast<double>(perTurn), (processorMicros() - first) / (rounds * peers)});
    }
    // The intercept is a frame's, the slope one more message's in it; sender and receiver together.
    printSlope("link_time_per_message_in_frame_both_ends", time, "us");
    const PeerCounters &after = star.hub.mesh.counters();
    const double received = static_cast<double>(after.totalReceived - quiet.totalReceived);
    printFigure("link_signs_of_life_bytes_per_frame", received / (rounds * peers * 4), "bytes");
}

void letPass(int millis)
{
    QEventLoop loop;
    QTimer::singleShot(millis, &loop, &QEventLoop::quit);
    loop.exec();
}

double allBytes(const StandIn &router)
{
    const PeerCounters &counters = router.mesh.counters();
    return static_cast<double>(counters.totalSent + counters.totalReceived);
}

double smallFrame()
{
    return static_cast<double>(framed(encodeFrame({&smallMessage(), 1})).size());
}

/** How many frames of no bytes passed either way for each of count messages, of which the hub carried all. */
double signsEach(double bytes, double count)
{
    return (bytes / count - smallFrame()) / static_cast<double>(framed({}).size());
}

/** One message on each link and an answer on the link of the other direction, and then nothing. */
void answeredMessages()
{
    constexpr std::size_t peers = 200;
    constexpr int quiet = 4000;
    Star star(peers);
    const auto exchange = [&star](std::size_t messages) {
        star.hubSays(smallMessage());
        star.arrived(messages);
        for (const auto &peer : star.peers) {
            peer->mesh.send(InstanceId{"hub"}, smallMessage());
        }
        waitFor([&] { return star.hub.messages == peers * messages; }, "answers at the hub");
        letPass(quiet);
    };
    exchange(1);
    const double before = allBytes(star.hub);
    const double started = processorMicros();
    exchange(2);
    printFigure("link_time_per_answered_message_both_ends", (processorMicros() - started) / peers, "us");
    printFigure("link_signs_per_answered_message", 2 * signsEach(allBytes(star.hub) - before, 2 * peers), "frames");
}

/**
 * One message on each open link, as among a thousand peers, and after a while a sign of life. Then links on which
 * nobody says anything.
 */
void loneMessages()
{
    constexpr std::size_t peers = 200;
    constexpr int quiet = 4000;
    Star star(peers);
    star.hubSays(smallMessage());
    star.arrived(1);
    letPass(quiet);
    const double bytesBefore = allBytes(star.hub);
    double before = processorMicros();
    star.hubSays(smallMessage());
    star.arrived(2);
    letPass(quiet);
    const PeerCounters second = star.hub.mesh.counters();
    const double links = peers;
    printFigure("link_time_per_lone_message_both_ends", (processorMicros() - before) / links, "us");
    printFigure("link_signs_per_lone_message", signsEach(allBytes(star.hub) - bytesBefore, links), "frames");
    before = processorMicros();
    letPass(quiet);
    constexpr double millisPerSecond = 1000;
    printFigure(
        "link_idle_time_per_s_both_ends", (processorMicros() - before) / links * millisPerSecond / quiet, "us/s");
    const PeerCounters &last = star.hub.mesh.counters();
    printFigure("link_idle_bytes_per_s",
                static_cast<double>(last.totalSent + last.totalReceived - second.totalSent - second.totalReceived)
                    / links * millisPerSecond / quiet,
                "bytes/s");
}

} // namespace

void measureLinks()
{
    linkMemory();
    messageTime();
    loneMessages();
    answeredMessages();
    measureSigns();
}

} // namespace Sequoiausher
