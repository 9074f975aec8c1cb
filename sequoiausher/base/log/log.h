#pragma once

// The log of a process: short sentences, each with the fixed prefix of the part that speaks, and fields for what
// varies. Lines go to standard error. A sentence that repeats too often is held back and counted.
//
//     Log log(LogSettings{});
//     log.warning(LogPart::Claims, "too few witnesses answered", {{"have", "2"}, {"need", "4"}});
//     // 2026-03-01T08:15:30.125Z warning claims: too few witnesses answered have=2 need=4
//
// Keep what varies out of the sentence: repeats are told by part and sentence.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The part of the process that speaks; its name is the fixed prefix of its sentences. */
enum class LogPart {
    Main,
    Entry,
    Claims,
    Admission,
    Members,
    Config,
    Peers,
    Targets,
    Limits,
    Answers,
    Platform,
    Lab,
};

template<>
inline constexpr auto nameTable<LogPart> = std::to_array<NameEntry<LogPart>>({
    {LogPart::Main, "main"},
    {LogPart::Entry, "entry"},
    {LogPart::Claims, "claims"},
    {LogPart::Admission, "admission"},
    {LogPart::Members, "members"},
    {LogPart::Config, "config"},
    {LogPart::Peers, "peers"},
    {LogPart::Targets, "targets"},
    {LogPart::Limits, "limits"},
    {LogPart::Answers, "answers"},
    {LogPart::Platform, "platform"},
    {LogPart::Lab, "lab"},
});

/** How much a sentence matters, least first. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

template<>
inline constexpr auto nameTable<LogLevel> = std::to_array<NameEntry<LogLevel>>({
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
});

/** How a line is written. */
enum class LogFormat {
    /** Time, level, part and sentence, then key=value. */
    Text,
    /** One JSON object a line. */
    Json,
};

template<>
inline constexpr auto nameTable<LogFormat> = std::to_array<NameEntry<LogFormat>>({
    {LogFormat::Text, "text"},
    {LogFormat::Json, "json"},
});

/** One thing that varies from line to line. */
struct LogField
{
    std::string name;
    std::string value;
};

/** What is written, and how. */
struct LogSettings
{
    LogLevel lowest = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    /** The same sentence of one part is written at most this often in each repeatInterval; 0 means no limit. */
    std::uint32_t repeatsPerInterval = 10;
    Millis repeatInterval{10000};
};

/** Writes lines. Every function may be called from any thread. */
class Log
{
public:
    using Clock = std::function<Millis()>;

    /** Writes to standard error with the wall clock's time. */
    explicit Log(const LogSettings &settings);
    /**
     * Writes to stream, which must outlive the log.
     * @param clock gives milliseconds since 1970; called from any thread.
     */
    Log(const LogSettings &settings, std::ostream &stream, Clock clock);
    ~Log();
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    /** Whether lines of this level are written: ask before costly fields are put together. */
    bool isOn(LogLevel level) const;

    void write(LogPart part, LogLevel level, std::string_view sentence, const std::vector<LogField> &fields = {}) const;

    void debug(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;
    void info(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;
    void warning(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;
    void error(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;

    /**
     * Writes the counts of sentences held back whose interval is over. Without it a burst that stops would keep its
     * count until the sentence comes again. Call it every few seconds; the destructor writes what is left.
     */
    void writeSuppressed() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
