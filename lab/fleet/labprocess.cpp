#include "lab/fleet/labprocess.h"

#include "lab/support/labcall.h"
#include "sequoiausher/base/error.h"

#include <QtCore/QFile>
#include <QtCore/QProcess>

#include <csignal>
#include <fstream>
#include <string>

#include <sys/prctl.h>

namespace Sequoiausher::Lab {

class LabProcess::Private
{
public:
    bool isRunning() const
    {
        return this->process && this->process->state() != QProcess::NotRunning;
    }

    void send(int signal) const
    {
        if (this->isRunning()) {
            ::kill(static_cast<pid_t>(this->process->processId()), signal);
        }
    }

    QString outputFile() const
    {
        return QString::fromStdString(this->folder + "/" + this->name + ".out");
    }

    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    std::string folder;
    std::unique_ptr<QProcess> process;
    /** Bytes that earlier runs wrote. */
    std::size_t earlierOutput = 0;
};

LabProcess::LabProcess(std::string name, std::string program, std::vector<std::string> arguments, std::string folder)
    : d(std::make_unique<Private>())
{
    this->d->name = std::move(name);
    this->d->program = std::move(program);
    this->d->arguments = std::move(arguments);
    this->d->folder = std::move(folder);
}

LabProcess::~LabProcess()
{
    this->kill();
}

const std::string &LabProcess::name() const
{
    return this->d->name;
}

void LabProcess::start()
{
    this->kill();
    this->d->earlierOutput = this->output().size();
    this->d->process = std::make_unique<QProcess>();
    QStringList arguments;
    for (const std::string &argument : this->d->arguments) {
        arguments.append(QString::fromStdString(argument));
    }
    this->d->process->setProcessChannelMode(QProcess::MergedChannels);
    this->d->process->setStandardOutputFile(this->d->outputFile(), QIODevice::Append);
    // A test that crashes runs no destructor: without this its routers would stay behind and hold their ports.
    this->d->process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    this->d->process->start(QString::fromStdString(this->d->program), arguments);
    if (!this->d->process->waitForStarted()) {
        throw Error(Step::Listen, this->d->name, "cannot start " + this->d->program);
    }
}

bool LabProcess::isRunning() const
{
    return this->d->isRunning();
}

void LabProcess::kill()
{
    if (this->d->isRunning()) {
        this->d->process->kill();
        this->d->process->waitForFinished();
    }
}

void LabProcess::freeze()
{
    this->d->send(SIGSTOP);
}

void LabProcess::thaw()
{
    this->d->send(SIGCONT);
}

void LabProcess::requestReload()
{
    this->d->send(SIGHUP);
}

void LabProcess::requestStop()
{
    this->d->send(SIGTERM);
}

std::optional<int> LabProcess::waitForExit(Millis limit)
{
    const bool ended = LabCaller::waitFor([this] { return !this->d->isRunning(); }, limit);
    if (!ended || !this->d->process || this->d->process->exitStatus() != QProcess::NormalExit) {
        return std::nullopt;
    }
    return this->d->process->exitCode();
}

std::optional<int> LabProcess::stop(Millis limit)
{
    this->requestStop();
    return this->waitForExit(limit);
}

std::optional<int> LabProcess::endingSignal() const
{
    const bool isSignalled
        = this->d->process && !this->d->isRunning() && this->d->process->exitStatus() == QProcess::CrashExit;
    // QProcess reports the signal as the exit code of such a process.
    return isSignalled ? std::optional(this->d->process->exitCode()) : std::nullopt;
}

std::int64_t LabProcess::processId() const
{
    return this->isRunning() ? this->d->process->processId() : 0;
}

std::size_t LabProcess::memoryBytes() const
{
    if (!this->isRunning()) {
        return 0;
    }
    std::ifstream status("/proc/" + std::to_string(this->d->process->processId()) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "RssAnon:" && status >> kilobytes) {
            return kilobytes * 1024;
        }
    }
    return 0;
}

std::string LabProcess::output() const
{
    QFile file(this->d->outputFile());
    return file.open(QIODevice::ReadOnly) ? file.readAll().toStdString() : std::string();
}

std::string LabProcess::outputOfLastRun() const
{
    return this->output().substr(this->d->earlierOutput);
}

} // namespace Sequoiausher::Lab
