#include "engine_model.h"

#include <algorithm>
#include <utility>

namespace sycamorebend::benchmark {

namespace {

constexpr std::size_t kPriorities = 4;

}  // namespace

void EngineModel::Add(Attempt& attempt) {
  attempt.at_server = true;
  const auto at = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&](const Attempt* other) { return other->priority > attempt.priority; });
  this->waiting.insert(at, &attempt);
}

void EngineModel::Remove(Attempt& attempt) {
  attempt.at_server = false;
  this->waiting.remove(&attempt);
  this->running.erase(
      std::remove(this->running.begin(), this->running.end(), &attempt),
      this->running.end());
}

std::vector<Attempt*> EngineModel::Crash() {
  std::vector<Attempt*> lost(this->waiting.begin(), this->waiting.end());
  lost.insert(lost.end(), this->running.begin(), this->running.end());
  for (Attempt* attempt : lost) {
    attempt->at_server = false;
  }
  this->waiting.clear();
  this->running.clear();
  this->cache.clear();
  this->cached.clear();
  this->events = {};
  this->up = false;
  ++this->incarnation;
  return lost;
}

int EngineModel::CachedTokens(const Attempt& attempt) {
  int blocks = 0;
  for (const std::uint64_t hash : *attempt.hashes) {
    const auto found = this->cached.find(hash);
    if (found == this->cached.end()) {
      break;
    }
    this->cache.splice(this->cache.begin(), this->cache, found->second);
    ++blocks;
  }
  return blocks * kBlockTokens;
}

void EngineModel::CachePrompt(const Attempt& attempt) {
  for (const std::uint64_t hash : *attempt.hashes) {
    if (this->cached.count(hash) > 0) {
      continue;
    }
    this->cache.push_front(hash);
    this->cached[hash] = this->cache.begin();
    this->events.added.push_back(hash);
    if (this->cache.size() > kCacheBlocks) {
      this->events.removed.push_back(this->cache.back());
      this->cached.erase(this->cache.back());
      this->cache.pop_back();
    }
  }
}

void EngineModel::Preempt(StepResult& result,
                          std::size_t victim,
                          const Attempt& by) {
  Attempt* attempt = this->running[victim];
  this->running.erase(this->running.begin() +
                      static_cast<std::ptrdiff_t>(victim));
  result.priority_inversions += attempt->tier == 0 && by.tier > 0 ? 1 : 0;
  // The KV cache of the victim is discarded and must be recomputed.
  attempt->recomputed += attempt->generated;
  const auto at = std::find_if(this->waiting.begin(), this->waiting.end(),
                               [&](const Attempt* other) {
                                 return other->priority >= attempt->priority;
                               });
  this->waiting.insert(at, attempt);
}

void EngineModel::Admit(StepResult& result) {
  while (!this->waiting.empty()) {
    Attempt* next = this->waiting.front();
    if (static_cast<int>(this->running.size()) >= this->spec.slots) {
      std::size_t victim = 0;
      for (std::size_t i = 1; i < this->running.size(); ++i) {
        const Attempt& a = *this->running[i];
        const Attempt& b = *this->running[victim];
        if (a.priority > b.priority ||
            (a.priority == b.priority && a.admitted_order > b.admitted_order)) {
          victim = i;
        }
      }
      if (this->running[victim]->priority <= next->priority) {
        return;
      }
      this->waiting.pop_front();
      this->Preempt(result, victim, *next);
    } else {
      this->waiting.pop_front();
    }
    next->admitted_order = ++this->admissions;
    next->prefill_left =
        std::max(1, next->input_tokens - this->CachedTokens(*next)) +
        next->generated;
    if (!next->started) {
      next->started = true;
      result.started.push_back(next);
    }
    this->running.push_back(next);
  }
}

StepResult EngineModel::Step() {
  StepResult result;
  this->Admit(result);
  // Prefill of urgent requests comes first.
  std::stable_sort(this->running.begin(), this->running.end(),
                   [](const Attempt* a, const Attempt* b) {
                     return a->priority < b->priority;
                   });
  int chunk = kPrefillChunkTokens;
  int decoding = 0;
  std::vector<Attempt*> done;
  for (Attempt* attempt : this->running) {
    const int used = std::min(chunk, attempt->prefill_left);
    chunk -= used;
    attempt->prefill_left -= used;
    if (attempt->prefill_left > 0) {
      continue;
    }
    if (used > 0) {
      this->CachePrompt(*attempt);
    }
    ++decoding;
    ++attempt->generated;
    result.progressed.push_back(attempt);
    if (attempt->generated >= attempt->output_tokens) {
      done.push_back(attempt);
    }
  }
  for (Attempt* attempt : done) {
    this->Remove(*attempt);
  }
  result.finished = std::move(done);
  const auto cost = this->spec.step_base + kTimePerSequence * decoding +
                    kTimePerPrefillToken * (kPrefillChunkTokens - chunk);
  result.duration = Duration(static_cast<std::int64_t>(
      static_cast<double>(Duration(cost).count()) * this->slowness));
  return result;
}

std::vector<int> EngineModel::Running() const {
  std::vector<int> counts(kPriorities);
  for (const Attempt* attempt : this->running) {
    ++counts[static_cast<std::size_t>(attempt->priority)];
  }
  return counts;
}

std::vector<int> EngineModel::Queued() const {
  std::vector<int> counts(kPriorities);
  for (const Attempt* attempt : this->waiting) {
    ++counts[static_cast<std::size_t>(attempt->priority)];
  }
  return counts;
}

bool EngineModel::RunsLowerTier(int tier) const {
  return std::any_of(this->running.begin(), this->running.end(),
                     [tier](const Attempt* attempt) {
                       return attempt->tier > tier && attempt->priority > tier;
                     });
}

bool EngineModel::RunsAged() const {
  return std::any_of(this->running.begin(), this->running.end(),
                     [](const Attempt* attempt) {
                       return attempt->priority == 0 && attempt->tier > 0;
                     });
}

CacheEvents EngineModel::TakeCacheEvents() {
  return std::exchange(this->events, {});
}

}  // namespace sycamorebend::benchmark
