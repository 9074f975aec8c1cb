#pragma once

// Holds what callers and targets saw against what the gateways promise, while a soak runs. It is told everything as it
// happens and has no clock and no socket of its own, so its tests are rows of events.
//
//     SoakJudge judge(SoakBounds{});
//     judge.configurationAcknowledged(configuration, now);
//     judge.sent(call);
//     judge.arrived(arrival);
//     judge.answered(call.id, answer, now);
//     for (const SoakViolation &violation : judge.violations()) { ... }

#include "lab/soak/disturbances.h"
#include "lab/soak/limitjudge.h"
#include "lab/soak/soakrecords.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** What is promised, as the platform's bounds word it. */
struct SoakBounds
{
    /** A target that leaves gets nothing new from so long after its word on. */
    Millis drain{2000};
    /** A configuration is in force so long after its publication. */
    Millis apply{2000};
    /** The targets of an evacuated data centre get nothing new from so long after the operator's request on. */
    Millis evacuation{5000};
    /** A cold target gets no more arrivals in a second than coldPerSecond times coldOverrun plus coldSlack. */
    double coldPerSecond = 2;
    double coldOverrun = 1.5;
    double coldSlack = 2;
    /** After an effect of a version was seen, an older one is not used from so long on. */
    Millis rollback{250};
    /** A key that was taken away opens nothing from so long on, at whichever gateway. */
    Millis revocation{5000};
    /** How long a gateway and the store must have been calm for a bound in time to hold. */
    Millis contact{3000};
    /** After a caller left, or its route's time was over, this much is left for the end. */
    Millis ending{500};
    /** Once a request has ended so many targets, so many more may get it, not counting those within contact. */
    std::size_t endsUntilKnown = 3;
    std::size_t lateEnds = 3;
    double repeatRatio = 0.2;
    double repeatSlack = 54;
    Millis repeatWindow{10000};
    /** Of a planned stop: its grace, so much later nothing of it is left, and a request that was sent by then may be
     * cut off in the last sixth of the grace while its target is at work. */
    Millis grace{8000};
    Millis afterGrace{1000};
    Millis sentEarly{3000};
    /** A request may cross the end of its connection for so long after its last byte. */
    Millis lossSlack{200};
    /** Granted on every bound in time for the scheduling of dozens of processes on one machine. */
    Millis allowance{300};
};

/** See above. */
class SoakJudge
{
public:
    explicit SoakJudge(const SoakBounds &bounds);
    ~SoakJudge();
    SoakJudge(const SoakJudge &) = delete;
    SoakJudge &operator=(const SoakJudge &) = delete;

    /** Subjects are gatewaySubject(n), targetSubject(life) and storeSubject. */
    Disturbances &disturbances();
    static std::string gatewaySubject(std::size_t gateway);
    static std::string targetSubject(const std::string &life);
    static constexpr const char *storeSubject = "store";
    /** All targets together: disturbed while any of them is. */
    static constexpr const char *targetsSubject = "targets";
    /** Marks the gateway's subject for disturbances that nobody planned: only these excuse a lost answer. */
    static constexpr const char *unplannedSuffix = " unplanned";
    /** Marks it while the process is killed: only this excuses a request that was read and got nothing at all. */
    static constexpr const char *killedSuffix = " killed";

    /** This process itself stood still for so long up to at: granted on every bound that covers that time. */
    void paused(Millis at, Millis span);

    void configurationAcknowledged(const GatewayConfiguration &configuration, Millis at);
    /** The store has taken the target's word that it leaves, or dropped its entry. */
    void leavingAcknowledged(const std::string &target, Millis at);

    /** The store lists the target in the data centre. */
    void placed(const std::string &target, const DataCentreId &dataCentre);
    /** The store has taken the operator's request to evacuate the data centre, or its end. */
    void evacuationAcknowledged(const DataCentreId &dataCentre, Millis at);
    void evacuationEnded(const DataCentreId &dataCentre);
    /** The target is cold from its start, or from the end of an evacuation, until the given time. */
    void cold(const std::string &target, Millis until);

    /** The target, which is of the software version, takes new requests, or no longer does. */
    void serves(const std::string &target, const std::string &version);
    void servesNoMore(const std::string &target);

    void sent(const SoakCall &call);
    /** The answer is over, whole or not. */
    void answered(const std::string &id, const SoakAnswer &answer, Millis at);
    /** The caller closed its connection before the end. */
    void left(const std::string &id, Millis at);

    /** The body of a call that is sent in parts has been sent to its end. */
    void sentWhole(const std::string &id, Millis at);
    /** This life of the gateway was asked to stop. Asked again, it is bound by the first time. */
    void stopAsked(std::size_t gateway, std::uint64_t life, Millis at);

    /** The gateways reached no target by themselves meanwhile; callers, store and peers reached them. */
    void pathsCut(const std::set<std::size_t> &gateways, Millis from, Millis to);

    /** A gateway wrote a line into its log. */
    void logged(std::size_t gateway, const std::string &line, Millis at);

    /** Bytes came over a connection on which no request waited. */
    void strayBytes(const std::string &caller, Millis at);
    /** A promise broke that the run itself watches, such as a process that ended by itself. */
    void broken(const std::string &promise, const std::string &detail, Millis at);

    void arrived(const SoakArrival &arrival);
    /** The plain answer that a target made for a run; what a stream holds follows from the call's id. */
    void made(const std::string &signature, int status, const std::string &body);
    void runEnded(const std::string &id, const std::string &target, RunEnd how, Millis at);

    /** Looks for what is overdue. */
    void tick(Millis now);
    /** Looks at what can only be counted at the end, such as how calls at gateways without paths were served. */
    void finish(Millis now);

    const std::vector<SoakViolation> &violations() const;
    /** The worst five seconds of each service of which any request reached a target above its limit, after finish(). */
    const std::vector<LimitWindow> &worstWindows() const;
    /** Calls sent from the time on that the newest version allows and that have ended, and those with a whole success.
     */
    std::size_t sentSince(Millis from) const;
    std::size_t servedSince(Millis from) const;
    /** Calls that crossed the close of their connection and were refused by the gateway's kernel. */
    std::size_t unread() const;
    /**
     * Streams at gateways in touch: new ones, and those that callers took up while two targets of their software
     * version served; and how many of each got an event.
     */
    StreamCounts streams() const;
    StopCounts stops() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
