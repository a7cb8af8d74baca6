#ifndef ROSEMARYWINCH_PROGRAMS_MESH_SEED_WATCHER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_SEED_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/net.h"

namespace rosemarywinch {

namespace asio = boost::asio;

/// Splits a comma-separated list and drops empty elements.
std::vector<std::string> SplitList(const std::string& text);

/// Reloads the seeds from the settings file on SIGHUP and periodically, and
/// calls back when they have changed.
class SeedWatcher {
 public:
  using ChangeCallback =
      std::function<void(const std::vector<std::string>& seeds)>;

  SeedWatcher(asio::io_context& context,
              std::string file,
              std::string seeds,
              ChangeCallback on_change);

  /// Calls back with the initial seeds and starts watching.
  void Start();

 private:
  void WaitForSignal();
  void WaitForTimer();
  void Reload(const char* cause);

  Strand m_strand;
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
  const std::string m_file;
  std::string m_seeds;
  const ChangeCallback m_on_change;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_SEED_WATCHER_H_
