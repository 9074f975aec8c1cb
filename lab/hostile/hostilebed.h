#pragma once

// A real gateway beside clients that do not behave: its process, a store, a target, and an ordinary caller whose
// requests must still be answered. While a crowd plays, the bed looks again and again at what the process takes.
//
//     HostileBed bed;
//     bed.start();
//     bed.play({.address = bed.address(Door::Callers), .connections = 4, .repeated = bed.unknownRoute()});
//     CHECK(bed.peak().total() <= HostileBed::memoryBytes);
//     CHECK(bed.servesOrdinaryCaller());

#include "lab/fleet/labprocess.h"
#include "lab/fleet/reservedport.h"
#include "lab/hostile/clientcrowd.h"
#include "lab/hostile/processusage.h"
#include "lab/soak/soakstore.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <QTemporaryDir>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** The addresses of a gateway that clients may reach. */
enum class Door {
    Callers,
    Readiness,
    Metrics,
    Peers,
    Tunnels,
};

/** See above. Needs a QCoreApplication. */
class HostileBed
{
public:
    /** The limits in the gateway's settings. */
    static constexpr std::size_t memoryMb = 64;
    static constexpr std::size_t memoryBytes = memoryMb << 20U;
    static constexpr std::size_t descriptors = 400;
    /** How long a crowd plays. */
    static constexpr Millis playTime{4000};
    /** The grace of a planned stop. */
    static constexpr Millis grace{8000};

    HostileBed();
    ~HostileBed();
    HostileBed(const HostileBed &) = delete;
    HostileBed &operator=(const HostileBed &) = delete;

    /** Starts everything and waits until the gateway is ready. @throws Error if it does not become ready. */
    void start();
    std::string address(Door door) const;
    LabProcess &gateway();
    FakeServer &target();
    SoakStore &store();
    /** The id under which the store lists the target, and what its entry says. */
    static const char *targetId();
    std::string targetEntry() const;
    /** Starts the gateway without waiting until it is ready. */
    void startWithoutWaiting();
    /** Writes the settings with another number of descriptors, and has the gateway read them. */
    void reloadWith(std::size_t fewerDescriptors);

    /** Has the target answer each request with a body of so many bytes. */
    void setAnswerBytes(std::size_t bytes);
    /** A request on a route that does not exist, with a key that nobody has, and one that the target answers. */
    static std::string unknownRoute();
    static std::string unknownKey();
    static std::string served();
    /** The head of a served request, with these fields, and without the end of the head. */
    static std::string beginOfHead(const std::string &method = "GET");

    /** Lets a crowd play beside an ordinary caller, and waits for the end of it. */
    void play(const CrowdPlan &plan, Millis time = playTime);
    /** Starts a crowd that plays until the bed ends. */
    void begin(const CrowdPlan &plan);
    /** Runs the event loop for the time, while usage is observed. */
    void observe(Millis time);
    void endCrowds();

    /** The most of each that was seen. */
    const ProcessUsage &peak() const;
    /** The most memory and bytes in the kernel together that was seen. */
    std::size_t peakBytes() const;
    /** The end of what the gateway has logged. */
    std::string lastLines() const;
    /** Whether a single request, sent again as it is told where it was refused, is answered by the target. */
    bool servesOrdinaryCaller();
    /** Whether a single request that is sent so long after its connection was opened is answered by the target. */
    bool servesCallerAfter(Millis pause);
    /** Whether the platform is told that the gateway is ready. */
    bool isReady();
    /** Whether the page of metrics comes whole. */
    bool servesMetrics();
    /** Whether an ordinary request, and a question for readiness, were answered while a crowd was there. */
    bool wasServedBesideCrowd() const;
    bool wasReadyBesideCrowd() const;

private:
    void configure(std::size_t mostDescriptors) const;
    void look();
    void askBesideCrowd();
    CallerReply ask(const std::string &address, const std::string &request);

    QTemporaryDir folder;
    SoakStore platformStore{1};
    FakeServer desk;
    std::string answer = "ok";
    ReservedPort callerPort;
    ReservedPort readyPort;
    ReservedPort metricsPort;
    ReservedPort peerPort;
    ReservedPort tunnelPort;
    std::unique_ptr<LabProcess> process;
    std::vector<std::unique_ptr<ClientCrowd>> crowds;
    ProcessUsage most;
    std::size_t mostBytes = 0;
    std::unique_ptr<FakeCaller> besideCaller;
    std::unique_ptr<FakeCaller> besideQuestion;
    bool hasServedBeside = false;
    bool wasReadyBeside = false;
};

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::Door> = std::to_array<NameEntry<Lab::Door>>({
    {Lab::Door::Callers, "callers"},
    {Lab::Door::Readiness, "readiness"},
    {Lab::Door::Metrics, "metrics"},
    {Lab::Door::Peers, "peers"},
    {Lab::Door::Tunnels, "tunnels"},
});

} // namespace Sequoiausher
