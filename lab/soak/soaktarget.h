#pragma once

// A stand-in for one target: it runs requests for a while, says when it is full, and has moods in which it fails them.
// Each start is another life under another id, at the same address.
//
//     SoakTarget target("t3", judge, seed);
//     target.start("llm");
//     target.setMood(TargetMood::BreakOff, 0.3);
//     target.crash();

#include "lab/fleet/reservedport.h"
#include "lab/soak/soakjudge.h"
#include "platform/standindialect.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** What a target does with a part of its requests. */
enum class TargetMood {
    Well,
    /** Takes many times as long. */
    Slow,
    /** Says that it is full, and did not run the request. */
    Full,
    /** Runs the request and says that it failed. */
    Failing,
    /** Runs the request and says nothing. */
    Mute,
    /** Runs the request and resets the connection. */
    Reset,
    /** Breaks off in the middle of its answer. */
    BreakOff,
    /** Closes in order in the middle of an answer that has no length, so that it looks like its end, then resets. */
    Unframed,
    /** Sends a second answer after the first. */
    Extra,
    /** Sends the answer to another request. */
    Foreign,
};

/** See above. Needs a running event loop. */
class SoakTarget
{
public:
    SoakTarget(std::string name, SoakJudge &judge, std::uint64_t seed);
    ~SoakTarget();

    /** Begins a new life for the service. */
    void start(const std::string &service);
    /** Ends the life: every connection is cut, nothing listens. */
    void crash();
    /** Whether it is alive, and which life it is. */
    bool isAlive() const;
    const std::string &life() const;
    const std::string &service() const;
    std::uint16_t port() const;
    std::uint32_t slots() const;
    /** The requests that it holds. */
    std::uint32_t held() const;

    void setMood(TargetMood mood, double share);
    /**
     * Whether half of its answers have neither a length nor chunks, and end with their connection. Of such streams many
     * break off until stopBreaking().
     */
    void setUnframed(bool on);
    void stopBreaking();
    /** It runs this share of its requests like the others and sends nothing of their answers. */
    void setLosing(double share);
    /** Whether it sends, after each whole answer, one that belongs to no request and states that one did not run. */
    void setUnasked(bool on);

    /** Returns what all targets of the service hold. */
    std::function<ServiceHolding(const std::string &service)> holdings;
    /** Whether prompts are read one after the other before their streams begin, and cached parts are not. */
    bool readsPrompts = false;
    /** A request ends it: called instead of crash(), which is left to whoever is told. */
    std::function<void()> ends;

private:
    struct Work;

    void handle(const FakeRequest &request);
    /** Returns when the prompt is read, which begins when those before it are. */
    Millis readPrompt(const std::string &parts, Millis now);
    void tick(Millis now);
    bool advance(Work &work, Millis now);
    bool advanceStream(Work &work, Millis now);
    /** Sends a part of a stream as its framing wants it. */
    static void sendPart(const Work &work, const std::string &bytes);
    void spoil(Work &work);
    void answer(Work &work);
    void ended(const Work &work, RunEnd how);
    void lost(const FakeConnection &connection);
    std::string fieldsOf(const Work &work, int status);

    std::string name;
    SoakJudge &judge;
    std::mt19937_64 random;
    ReservedPort reserved;
    std::string currentLife;
    std::string currentService;
    std::uint32_t lives = 0;
    TargetMood mood = TargetMood::Well;
    double moodShare = 0;
    double losingShare = 0;
    bool hasUnframedAnswers = false;
    bool breaksStreams = false;
    bool sendsUnasked = false;
    std::unique_ptr<FakeServer> server;
    std::vector<std::unique_ptr<Work>> works;
    /** The parts that this life has read, and when it has read all prompts that it got. */
    std::set<std::string> readParts;
    Millis readingUntil;
    QTimer timer;
};

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::TargetMood> = std::to_array<NameEntry<Lab::TargetMood>>({
    {Lab::TargetMood::Well, "well"},
    {Lab::TargetMood::Slow, "slow"},
    {Lab::TargetMood::Full, "full"},
    {Lab::TargetMood::Failing, "failing"},
    {Lab::TargetMood::Mute, "mute"},
    {Lab::TargetMood::Reset, "reset"},
    {Lab::TargetMood::BreakOff, "break-off"},
    {Lab::TargetMood::Unframed, "unframed"},
    {Lab::TargetMood::Extra, "extra"},
    {Lab::TargetMood::Foreign, "foreign"},
});

} // namespace Sequoiausher
