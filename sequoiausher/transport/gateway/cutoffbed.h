#pragma once

// Two gateways that know each other, with targets of two services, and paths from the first gateway to all targets that
// a test can cut. The second gateway reaches all targets directly, and has no callers of its own.
//
//     CutOffBed bed;
//     bed.startBoth();
//     bed.cut(PathCut::Reset);
//     const CutOffBed::Count count = bed.callFor(Millis{1000});

#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>

namespace Sequoiausher {

/** Two gateways that know each other, with targets of two services, and paths from the first gateway to all of them. */
struct CutOffBed : GatewayTestbed
{
    /** By this time after a cut, callers at the gateway must be served again. */
    static constexpr Millis detectionTime{3000};

    CutOffBed()
    {
        this->publish(configuration());
        for (int i = 0; i < 4; ++i) {
            this->addServed("desk" + std::to_string(i), "desk");
            this->addServed("llm" + std::to_string(i), "llm");
        }
    }
    ~CutOffBed()
    {
        this->neighbour.reset();
    }

    void addServed(const std::string &name, const std::string &service)
    {
        FakeServer &target = this->addTarget(name, service);
        target.isRecording = false;
        target.answers = [this](FakeRequest &request) {
            this->runs += 1;
            if (request.head.target.starts_with("/once/") || request.head.target.starts_with("/talk/")) {
                request.beginEvents();
                request.event(1);
                request.event(2);
                request.endEvents();
            } else {
                request.reply("200 OK", "well");
            }
        };
        this->addPath(name);
    }

    void startBoth()
    {
        this->start();
        this->other = this->settingsOfNeighbour();
        this->neighbour = std::make_unique<GatewayNode>(*this->dialect, this->other, *this->log, [] {});
        this->neighbour->start();
        REQUIRE(waitFor([this] { return this->neighbour->isReady(); }));
        // Until each has a report of the other.
        pause(Millis{1000});
    }

    static void pause(Millis time)
    {
        waitFor([] { return false; }, time);
    }

    void cut(PathCut how)
    {
        for (const auto &[name, path] : this->paths) {
            path->cut(how);
        }
    }
    void heal()
    {
        for (const auto &[name, path] : this->paths) {
            path->heal();
        }
    }

    struct Count
    {
        int sent = 0;
        int whole = 0;
        Millis longest;
    };
    /** Calls of all kinds, one after the other, at the first gateway. */
    Count callFor(Millis span)
    {
        Count count;
        const Millis end = Millis::monotonicNow() + span;
        constexpr auto kinds = std::to_array({"/desk/1", "/look/1", "/once/1", "/talk/1"});
        while (Millis::monotonicNow() < end) {
            const char *path = kinds[static_cast<std::size_t>(count.sent) % kinds.size()];
            const Millis begun = Millis::monotonicNow();
            FakeCaller caller(this->address());
            caller.send(std::string("POST ") + path + " HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-"
                        + std::to_string(this->calls++) + "\r\nContent-Length: 0\r\n\r\n");
            waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
            count.sent += 1;
            count.whole += caller.reply.status == 200 && caller.reply.isWhole ? 1 : 0;
            count.longest = std::max(count.longest, Millis::monotonicNow() - begun);
            pause(Millis{10});
        }
        return count;
    }

    std::size_t acceptedByPaths() const
    {
        std::size_t sum = 0;
        for (const auto &[name, path] : this->paths) {
            sum += path->accepted();
        }
        return sum;
    }
    /** Connections of the neighbour to targets so far; it has no callers of its own. */
    std::size_t tunnelsCarried() const
    {
        std::size_t sum = 0;
        for (const auto &[name, target] : this->targets) {
            sum += target->connections;
        }
        return sum - this->acceptedByPaths();
    }
    /** Cuts all paths, and waits until the first gateway has noticed. */
    void cutAndNotice()
    {
        this->cut(PathCut::Reset);
        this->callFor(Millis{300});
    }

    int calls = 0;
    int runs = 0;
    GatewaySettings other;
    std::unique_ptr<GatewayNode> neighbour;
};

} // namespace Sequoiausher
