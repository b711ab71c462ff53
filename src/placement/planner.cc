#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "sycamorebend/placement.h"

namespace sycamorebend {

namespace {

// Failure domains that a required model is spread over if engines allow it.
constexpr int kWantedFailureDomains = 2;

class DemandPlanner : public PlacementPlanner {
 public:
  explicit DemandPlanner(const PlacementOptions& options) : options(options) {}

  std::vector<EngineOrder> Plan(const std::vector<EngineView>& engines,
                                const std::vector<ModelDemand>& demand,
                                TimePoint now) override {
    this->LoadState(engines, demand, now);
    std::vector<EngineOrder> orders;
    for (const ModelDemand* model : this->ByUrgency(demand)) {
      while (this->Shortage(*model) > 0) {
        const std::optional<EngineOrder> order = this->Improve(*model, now);
        if (!order) {
          break;
        }
        orders.push_back(*order);
      }
    }
    return orders;
  }

  void OnOrderDone(const std::string& server_id, TimePoint now) override {
    this->under_way.erase(server_id);
    this->changed_at[server_id] = now;
  }

 private:
  struct UnderWay {
    EngineOrder order;
    // The model that the order serves; an unload makes room for it.
    ModelVersion beneficiary;
    std::uint64_t weight_bytes = 0;
  };

  // An engine together with the effect of its order under way.
  struct Slot {
    const EngineView* view;
    std::set<ModelVersion> models;
  };

  void LoadState(const std::vector<EngineView>& engines,
                 const std::vector<ModelDemand>& demand,
                 TimePoint now) {
    this->slots.clear();
    this->demand_by_model.clear();
    for (const EngineView& engine : engines) {
      Slot slot{&engine, engine.loaded};
      const auto order = this->under_way.find(engine.server_id);
      if (order != this->under_way.end()) {
        ApplyOrder(order->second.order, slot.models);
      }
      this->slots.push_back(std::move(slot));
    }
    for (const ModelDemand& model : demand) {
      this->demand_by_model[model.model] = &model;
    }
    // An engine that is gone needs no answer to its order.
    for (auto entry = this->under_way.begin();
         entry != this->under_way.end();) {
      entry = this->FindSlot(entry->first) == nullptr
                  ? this->under_way.erase(entry)
                  : std::next(entry);
    }
    for (const ModelDemand& model : demand) {
      if (this->Shortage(model) <= 0) {
        this->short_since.erase(model.model);
      } else {
        this->short_since.emplace(model.model, now);
      }
    }
  }

  static void ApplyOrder(const EngineOrder& order,
                         std::set<ModelVersion>& models) {
    if (order.kind == EngineOrderKind::kLoadModel) {
      models.insert(order.model);
    } else {
      models.erase(order.model);
    }
  }

  const Slot* FindSlot(const std::string& server_id) const {
    for (const Slot& slot : this->slots) {
      if (slot.view->server_id == server_id) {
        return &slot;
      }
    }
    return nullptr;
  }

  int EngineCount(const ModelVersion& model) const {
    return static_cast<int>(std::count_if(
        this->slots.begin(), this->slots.end(), [&](const Slot& slot) {
          return slot.view->accepting && slot.models.count(model) > 0;
        }));
  }

  int WantedEngines(const ModelDemand& demand) const {
    const int busy = static_cast<int>(
        std::ceil(demand.busy_engines * this->options.headroom));
    return std::max(busy, demand.required ? 1 : 0);
  }

  // Engines that are being emptied for the model count as its own, because
  // otherwise more engines than needed would be emptied.
  int Shortage(const ModelDemand& demand) const {
    const auto emptied = std::count_if(
        this->under_way.begin(), this->under_way.end(),
        [&demand](const auto& entry) {
          return entry.second.order.kind == EngineOrderKind::kUnloadModel &&
                 entry.second.beneficiary == demand.model;
        });
    return this->WantedEngines(demand) - this->EngineCount(demand.model) -
           static_cast<int>(emptied);
  }

  // Models without any engine come first, then the largest relative shortage.
  std::vector<const ModelDemand*> ByUrgency(
      const std::vector<ModelDemand>& demand) const {
    std::vector<const ModelDemand*> ordered;
    ordered.reserve(demand.size());
    for (const ModelDemand& model : demand) {
      ordered.push_back(&model);
    }
    const auto coverage = [this](const ModelDemand* model) {
      return this->EngineCount(model->model) /
             std::max(1.0, static_cast<double>(this->WantedEngines(*model)));
    };
    std::stable_sort(ordered.begin(), ordered.end(),
                     [&](const ModelDemand* a, const ModelDemand* b) {
                       return coverage(a) < coverage(b);
                     });
    return ordered;
  }

  // @return one order that reduces the shortage of `demand`, if there is one.
  std::optional<EngineOrder> Improve(const ModelDemand& demand, TimePoint now) {
    Slot* const target = this->ChooseEngine(demand, now);
    if (target == nullptr) {
      return std::nullopt;
    }
    EngineOrder order;
    order.server_id = target->view->server_id;
    if (this->HasRoom(*target)) {
      if (!this->WeightStoreAllows(demand)) {
        return std::nullopt;
      }
      order.kind = EngineOrderKind::kLoadModel;
      order.model = demand.model;
      order.reason = fmt::format(
          "{} engines serve {}, {} are wanted", this->EngineCount(demand.model),
          demand.model.model, this->WantedEngines(demand));
    } else {
      order.kind = EngineOrderKind::kUnloadModel;
      order.model = *this->SurplusModel(*target, demand);
      order.reason = fmt::format("makes room for {}", demand.model.model);
    }
    ApplyOrder(order, target->models);
    UnderWay& entry = this->under_way[order.server_id];
    entry.order = order;
    entry.beneficiary = demand.model;
    entry.weight_bytes =
        order.kind == EngineOrderKind::kLoadModel ? demand.weight_bytes : 0;
    return order;
  }

  bool HasRoom(const Slot& slot) const {
    return static_cast<int>(slot.models.size()) < slot.view->model_slots;
  }

  bool WeightStoreAllows(const ModelDemand& demand) const {
    std::uint64_t bytes = demand.weight_bytes;
    bool loading = false;
    for (const auto& [server_id, entry] : this->under_way) {
      bytes += entry.weight_bytes;
      loading = loading || entry.weight_bytes > 0;
    }
    const double window_seconds =
        std::chrono::duration<double>(this->options.load_window).count();
    // A single load is always allowed, however large the model is.
    return !loading || static_cast<double>(bytes) <=
                           window_seconds *
                               static_cast<double>(
                                   this->options.weight_store_bytes_per_second);
  }

  bool MayChange(const Slot& slot,
                 const ModelDemand& demand,
                 TimePoint now) const {
    const EngineView& view = *slot.view;
    if (!view.accepting || slot.models.count(demand.model) > 0 ||
        this->under_way.count(view.server_id) > 0) {
      return false;
    }
    if (!view.allowed_models.empty() &&
        view.allowed_models.count(demand.model.model) == 0) {
      return false;
    }
    if (this->HasRoom(slot)) {
      return true;
    }
    const bool unserved = this->EngineCount(demand.model) == 0;
    const auto changed = this->changed_at.find(view.server_id);
    const bool dwelt = changed == this->changed_at.end() ||
                       now - changed->second >= this->options.minimum_dwell;
    const auto since = this->short_since.find(demand.model);
    const bool lasting =
        since != this->short_since.end() &&
        now - since->second >= this->options.shortage_before_move;
    return (unserved || (dwelt && lasting)) &&
           this->SurplusModel(slot, demand).has_value();
  }

  // @return a model that the engine can give up: one without demand, or one
  // whose engines are mostly idle. The last engine of a required model stays.
  std::optional<ModelVersion> SurplusModel(const Slot& slot,
                                           const ModelDemand& wanted) const {
    const bool unserved = this->EngineCount(wanted.model) == 0;
    for (const ModelVersion& model : slot.models) {
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
          demand.busy_engines < this->options.release_below * (count - 1);
      if (idle || unserved) {
        return model;
      }
    }
    return std::nullopt;
  }

  // Prefers an engine with room, then one in a failure domain that does not
  // serve the model yet.
  Slot* ChooseEngine(const ModelDemand& demand, TimePoint now) {
    std::map<std::string, int> by_domain;
    for (const Slot& slot : this->slots) {
      if (slot.view->accepting && slot.models.count(demand.model) > 0) {
        ++by_domain[slot.view->failure_domain];
      }
    }
    const bool spread =
        static_cast<int>(by_domain.size()) < kWantedFailureDomains;
    Slot* best = nullptr;
    int best_cost = 0;
    for (Slot& slot : this->slots) {
      if (!this->MayChange(slot, demand, now)) {
        continue;
      }
      constexpr int kNoRoomCost = 2;
      const bool known_domain = by_domain.count(slot.view->failure_domain) > 0;
      const int cost = (this->HasRoom(slot) ? 0 : kNoRoomCost) +
                       (spread && known_domain ? 1 : 0);
      if (best == nullptr || cost < best_cost) {
        best = &slot;
        best_cost = cost;
      }
    }
    return best;
  }

  const PlacementOptions options;
  std::vector<Slot> slots;
  std::map<ModelVersion, const ModelDemand*> demand_by_model;
  std::map<ModelVersion, TimePoint> short_since;
  std::map<std::string, UnderWay> under_way;
  std::map<std::string, TimePoint> changed_at;
};

}  // namespace

std::unique_ptr<PlacementPlanner> PlacementPlanner::Create(
    const PlacementOptions& options) {
  return std::make_unique<DemandPlanner>(options);
}

}  // namespace sycamorebend
