#pragma once

// `sequoiausher gateway`: runs one gateway on a platform whose protocol an adapter implements.

#include "sequoiausher/cli/commandline.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"

#include <memory>

namespace Sequoiausher {

/** The subcommand. */
class GatewayCommand : public Command
{
public:
    explicit GatewayCommand(std::unique_ptr<const GatewayDialect> dialect);
    ~GatewayCommand() override;

    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;

private:
    std::unique_ptr<const GatewayDialect> dialect;
};

} // namespace Sequoiausher
