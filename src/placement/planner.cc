#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "sycamorebend/placement.h"

namespace sycamorebend {

namespace {

// Number of failure domains over which each model is spread if possible.
constexpr int kTargetFailureDomains = 2;

class DemandPlanner : public PlacementPlanner {
 public:
  explicit DemandPlanner(const PlacementOptions& options) : options(options) {}

  std::vector<EngineCommand> Plan(const std::vector<EngineView>& engines,
                                  const std::vector<ModelDemand>& demand,
                                  TimePoint now) override {
    this->UpdateState(engines, demand, now);
    std::vector<EngineCommand> commands;
    for (const ModelDemand* model : this->SortByCoverage(demand)) {
      while (this->Shortage(*model) > 0) {
        const std::optional<EngineCommand> command =
            this->PlanCommand(*model, now);
        if (!command) {
          break;
        }
        commands.push_back(*command);
      }
    }
    return commands;
  }

  void OnCommandDone(const std::string& server_id, TimePoint now) override {
    this->pending.erase(server_id);
    this->last_change_at[server_id] = now;
  }

 private:
  struct PendingCommand {
    EngineCommand command;
    // The model that the command is for. An unload command makes room for it.
    ModelVersion for_model;
    std::uint64_t weight_bytes = 0;
  };

  // An engine and the models it will have once its pending command is done.
  struct PlannedEngine {
    const EngineView* view;
    std::set<ModelVersion> models;
  };

  void UpdateState(const std::vector<EngineView>& engines,
                   const std::vector<ModelDemand>& demand,
                   TimePoint now) {
    this->planned_engines.clear();
    this->demand_by_model.clear();
    for (const EngineView& view : engines) {
      PlannedEngine engine{&view, view.loaded};
      const auto command = this->pending.find(view.server_id);
      if (command != this->pending.end()) {
        ApplyCommand(command->second.command, engine.models);
      }
      this->planned_engines.push_back(std::move(engine));
    }
    for (const ModelDemand& model : demand) {
      this->demand_by_model[model.model] = &model;
    }
    // Pending commands to removed engines are dropped.
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
      entry = this->FindEngine(entry->first) == nullptr
                  ? this->pending.erase(entry)
                  : std::next(entry);
    }
    for (const ModelDemand& model : demand) {
      if (this->Shortage(model) <= 0) {
        this->shortage_since.erase(model.model);
      } else {
        this->shortage_since.emplace(model.model, now);
      }
    }
  }

  static void ApplyCommand(const EngineCommand& command,
                           std::set<ModelVersion>& models) {
    if (command.kind == EngineCommandKind::kLoadModel) {
      models.insert(command.model);
    } else {
      models.erase(command.model);
    }
  }

  const PlannedEngine* FindEngine(const std::string& server_id) const {
    for (const PlannedEngine& engine : this->planned_engines) {
      if (engine.view->server_id == server_id) {
        return &engine;
      }
    }
    return nullptr;
  }

  int EngineCount(const ModelVersion& model) const {
    return static_cast<int>(std::count_if(
        this->planned_engines.begin(), this->planned_engines.end(),
        [&](const PlannedEngine& engine) {
          return engine.view->accepting && engine.models.count(model) > 0;
        }));
  }

  int TargetEngines(const ModelDemand& demand) const {
    const int busy = static_cast<int>(
        std::ceil(demand.busy_engines * this->options.headroom));
    return std::max(busy, demand.required ? 1 : 0);
  }

  // Engines that are unloading another model to make room count as engines of
  // this model; otherwise more engines than needed would be unloaded.
  int Shortage(const ModelDemand& demand) const {
    const auto unloading = std::count_if(
        this->pending.begin(), this->pending.end(),
        [&demand](const auto& entry) {
          return entry.second.command.kind == EngineCommandKind::kUnloadModel &&
                 entry.second.for_model == demand.model;
        });
    return this->TargetEngines(demand) - this->EngineCount(demand.model) -
           static_cast<int>(unloading);
  }

  // Sorts models by coverage: those without any engine first, then those with
  // the largest relative shortage.
  std::vector<const ModelDemand*> SortByCoverage(
      const std::vector<ModelDemand>& demand) const {
    std::vector<const ModelDemand*> sorted;
    sorted.reserve(demand.size());
    for (const ModelDemand& model : demand) {
      sorted.push_back(&model);
    }
    const auto coverage = [this](const ModelDemand* model) {
      return this->EngineCount(model->model) /
             std::max(1.0, static_cast<double>(this->TargetEngines(*model)));
    };
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const ModelDemand* a, const ModelDemand* b) {
                       return coverage(a) < coverage(b);
                     });
    return sorted;
  }

  // @return a command that reduces the shortage of `demand`, if there is one.
  std::optional<EngineCommand> PlanCommand(const ModelDemand& demand,
                                           TimePoint now) {
    PlannedEngine* const target = this->ChooseEngine(demand, now);
    if (target == nullptr) {
      return std::nullopt;
    }
    EngineCommand command;
    command.server_id = target->view->server_id;
    if (this->HasFreeSlot(*target)) {
      if (!this->WeightStoreAllows(demand)) {
        return std::nullopt;
      }
      command.kind = EngineCommandKind::kLoadModel;
      command.model = demand.model;
      command.reason = fmt::format(
          "{} engines serve {}, {} are needed", this->EngineCount(demand.model),
          demand.model.model, this->TargetEngines(demand));
    } else {
      command.kind = EngineCommandKind::kUnloadModel;
      command.model = *this->FindReleasableModel(*target, demand);
      command.reason = fmt::format("make room for {}", demand.model.model);
    }
    ApplyCommand(command, target->models);
    PendingCommand& entry = this->pending[command.server_id];
    entry.command = command;
    entry.for_model = demand.model;
    entry.weight_bytes =
        command.kind == EngineCommandKind::kLoadModel ? demand.weight_bytes : 0;
    return command;
  }

  bool HasFreeSlot(const PlannedEngine& engine) const {
    return static_cast<int>(engine.models.size()) < engine.view->model_slots;
  }

  bool WeightStoreAllows(const ModelDemand& demand) const {
    std::uint64_t bytes = demand.weight_bytes;
    bool loading = false;
    for (const auto& [server_id, entry] : this->pending) {
      bytes += entry.weight_bytes;
      loading = loading || entry.weight_bytes > 0;
    }
    const double max_load_seconds =
        std::chrono::duration<double>(this->options.max_load_duration).count();
    // A single load is always allowed, even if it exceeds the limit.
    return !loading || static_cast<double>(bytes) <=
                           max_load_seconds *
                               static_cast<double>(
                                   this->options.weight_store_bytes_per_second);
  }

  bool IsCandidate(const PlannedEngine& engine,
                   const ModelDemand& demand,
                   TimePoint now) const {
    const EngineView& view = *engine.view;
    if (!view.accepting || engine.models.count(demand.model) > 0 ||
        this->pending.count(view.server_id) > 0) {
      return false;
    }
    if (!view.allowed_models.empty() &&
        view.allowed_models.count(demand.model.model) == 0) {
      return false;
    }
    if (this->HasFreeSlot(engine)) {
      return true;
    }
    const bool unserved = this->EngineCount(demand.model) == 0;
    const auto changed = this->last_change_at.find(view.server_id);
    const bool dwell_time_elapsed =
        changed == this->last_change_at.end() ||
        now - changed->second >= this->options.min_dwell_time;
    const auto since = this->shortage_since.find(demand.model);
    const bool shortage_lasts =
        since != this->shortage_since.end() &&
        now - since->second >= this->options.min_shortage_duration;
    return (unserved || (dwell_time_elapsed && shortage_lasts)) &&
           this->FindReleasableModel(engine, demand).has_value();
  }

  // @return a model that the engine can unload: one without demand, one whose
  // engines are mostly idle or, if `wanted` has no engine, any other. The last
  // engine of a required model keeps it.
  std::optional<ModelVersion> FindReleasableModel(
      const PlannedEngine& engine,
      const ModelDemand& wanted) const {
    const bool unserved = this->EngineCount(wanted.model) == 0;
    for (const ModelVersion& model : engine.models) {
      const auto known = this->demand_by_model.find(model);
      if (known == this->demand_by_model.end()) {
        return model;
      }
      const ModelDemand& demand = *known->second;
      const int count = this->EngineCount(model);
      if (demand.required && count <= 1) {
        continue;
      }
      const bool idle =
          demand.busy_engines < this->options.release_utilization * (count - 1);
      if (idle || unserved) {
        return model;
      }
    }
    return std::nullopt;
  }

  // Prefers an engine with a free model slot, then one in a failure domain that
  // does not serve the model yet.
  PlannedEngine* ChooseEngine(const ModelDemand& demand, TimePoint now) {
    std::map<std::string, int> by_domain;
    for (const PlannedEngine& engine : this->planned_engines) {
      if (engine.view->accepting && engine.models.count(demand.model) > 0) {
        ++by_domain[engine.view->failure_domain];
      }
    }
    const bool spread =
        static_cast<int>(by_domain.size()) < kTargetFailureDomains;
    PlannedEngine* best = nullptr;
    int best_cost = 0;
    for (PlannedEngine& engine : this->planned_engines) {
      if (!this->IsCandidate(engine, demand, now)) {
        continue;
      }
      constexpr int kNoFreeSlotCost = 2;
      const bool known_domain =
          by_domain.count(engine.view->failure_domain) > 0;
      const int cost = (this->HasFreeSlot(engine) ? 0 : kNoFreeSlotCost) +
                       (spread && known_domain ? 1 : 0);
      if (best == nullptr || cost < best_cost) {
        best = &engine;
        best_cost = cost;
      }
    }
    return best;
  }

  const PlacementOptions options;
  std::vector<PlannedEngine> planned_engines;
  std::map<ModelVersion, const ModelDemand*> demand_by_model;
  std::map<ModelVersion, TimePoint> shortage_since;
  std::map<std::string, PendingCommand> pending;
  std::map<std::string, TimePoint> last_change_at;
};

}  // namespace

std::unique_ptr<PlacementPlanner> PlacementPlanner::Create(
    const PlacementOptions& options) {
  return std::make_unique<DemandPlanner>(options);
}

}  // namespace sycamorebend
