/*
    bench_scenario BUILD NAME: real daemons, stand-ins and load on this machine; every policy meets the same arrivals.
    Writes BUILD/bench/NAME.json.
*/
#include <math.h>
#include <signal.h>
#include <string.h>

#include "../tools/load.h"
#include "../tools/site.h"
#include "bench.h"

#define MAX_ENGINES 24
#define MAX_SERVICES 8
#define READY_MS 60000
#define IDEAL_STEP_S 0.05
#define LAG_LIMIT_MS 5
#define BATCH_US 100.0

/* What operators publish of a class beside what its load is. */
typedef struct class_level_t {
    int tier;
    bool is_protected, preemptible;
    uint32_t queue_ms, cost, estimate_ms;
} class_level_t;

typedef struct run_t run_t;

typedef struct scenario_t {
    const char* name;
    int daemons, halls, engines, services;
    int engine_slots, service_slots, service_ms;
    double step_ms;
    int reserve;     /* of the engine pool */
    uint32_t lag_ms; /* of load reports */
    load_desc_t load;
    class_level_t levels[LOAD_MAX_CLASSES];
    void (*prepare)(run_t* run);              /* after the start; may be NULL */
    void (*on_time)(run_t* run, double at_s); /* each 100 ms; may be NULL */
} scenario_t;

struct run_t {
    const scenario_t* scenario;
    site_t site;
    int stage;          /* of on_time */
    double lost_tokens; /* that a killed engine had made */
    site_proc_t* frozen;
};

static const char* const policies[] = {"shared", "solo", "lease", "round-robin"};
#define POLICY_COUNT 4

/* -- the site ------------------------------------------------------------- */

static void publish_workspaces(const load_desc_t* load, json_t* items) {
    for (uint32_t i = 0; i < load->workspace_count; i++) {
        char key[64];
        char digest[65];
        snprintf(key, sizeof(key), "workspaces/%s", load->workspaces[i].token);
        site_digest(load->workspaces[i].token, digest);
        json_array_append_new(items, json_pack("{s:s,s:{s:[s]}}", "key", key, "value", "token_digests", digest));
    }
}

static void publish_classes(const scenario_t* sc, json_t* items) {
    for (uint32_t i = 0; i < sc->load.class_count; i++) {
        const load_class_t* c = &sc->load.classes[i];
        const class_level_t* l = &sc->levels[i];
        char key[64];
        snprintf(key, sizeof(key), "classes/%s", c->name);
        json_array_append_new(items,
                              json_pack("{s:s,s:{s:i,s:b,s:b,s:b,s:i,s:i,s:i,s:i,s:f,s:[s]}}", "key", key, "value",
                                        "tier", l->tier, "protected", l->is_protected, "preemptible", l->preemptible,
                                        "repeatable", !c->once, "deadline_ms", (int)c->deadline_ms, "queue_ms",
                                        (int)l->queue_ms, "cost", (int)l->cost, "estimate_ms", (int)l->estimate_ms,
                                        "weight", c->weight, "pools", c->model ? "language" : "application"));
    }
}

static void publish_upstream(json_t* items, const site_proc_t* p, const char* pool, int slots) {
    char key[64];
    snprintf(key, sizeof(key), "upstreams/%s", p->name);
    json_array_append_new(items, json_pack("{s:s,s:{s:s,s:s,s:s,s:i}}", "key", key, "value", "pool", pool, "address",
                                           p->http, "hall", p->hall, "slots", slots));
}

static bool start_site(run_t* run, const char* build, const char* policy) {
    const scenario_t* sc = run->scenario;
    site_t* s = &run->site;
    static char extra[256];
    char slots[16];
    char step[16];
    char ms[16];
    char service_slots[16];
    char lag[16];
    snprintf(slots, sizeof(slots), "%d", sc->engine_slots);
    snprintf(step, sizeof(step), "%g", sc->step_ms);
    snprintf(ms, sizeof(ms), "%d", sc->service_ms);
    snprintf(service_slots, sizeof(service_slots), "%d", sc->service_slots);
    snprintf(lag, sizeof(lag), "%u", sc->lag_ms);
    snprintf(extra, sizeof(extra), "[allocator]\npolicy = %s\n[entry]\nlookup_keep = 2s\n", policy);
    site_setup(s, build);
    s->daemon_extra = extra;
    const char* const none[] = {NULL};
    const char* const engine[] = {"--slots", slots, "--step", step, "--lag", lag, NULL};
    const char* const service[] = {"--ms", ms, "--slots", service_slots, NULL};
    if (!site_start(s, SITE_PLATFORM, "platform", "h0", none)) {
        return false;
    }
    json_t* items = json_array();
    publish_workspaces(&sc->load, items);
    publish_classes(sc, items);
    json_array_append_new(items, json_pack("{s:s,s:{s:s,s:s,s:i,s:b}}", "key", "pools/language", "value", "kind",
                                           "engine", "model", "m", "reserve", sc->reserve, "resumes", 1));
    json_array_append_new(items, json_pack("{s:s,s:{s:s}}", "key", "pools/application", "value", "kind", "service"));
    for (int i = 0; i < sc->engines + sc->services; i++) {
        bool is_engine = i < sc->engines;
        char name[32];
        char hall[16];
        snprintf(name, sizeof(name), "%s%d", is_engine ? "engine" : "service", is_engine ? i : i - sc->engines);
        snprintf(hall, sizeof(hall), "h%d", i % sc->halls);
        site_proc_t* p =
            site_start(s, is_engine ? SITE_ENGINE : SITE_SERVICE, name, hall, is_engine ? engine : service);
        if (!p) {
            return false;
        }
        publish_upstream(items, p, is_engine ? "language" : "application",
                         is_engine ? sc->engine_slots : sc->service_slots);
    }
    json_t* root = json_pack("{s:o}", "items", items);
    char* text = json_dumps(root, JSON_COMPACT);
    bool ok = site_publish(s, text);
    free(text);
    json_decref(root);
    for (int i = 0; ok && i < sc->daemons; i++) {
        char name[32];
        char hall[16];
        snprintf(name, sizeof(name), "router%d", i);
        snprintf(hall, sizeof(hall), "h%d", i % sc->halls);
        ok = site_start_daemon(s, name, hall) != NULL;
    }
    return ok && site_wait_ready(s, READY_MS);
}

/* -- what engines and services counted ------------------------------------ */

typedef struct counts_t {
    double tokens, repeated;
} counts_t;

static counts_t read_counts(run_t* run) {
    counts_t c = {.tokens = run->lost_tokens};
    for (int i = 0; i < run->site.count; i++) {
        const site_proc_t* p = &run->site.procs[i];
        if (p->kind == SITE_ENGINE && p->pid) {
            double tokens = site_number(p->http, "/admin/stats", "tokens");
            c.tokens += tokens > 0 ? tokens : 0;
        } else if (p->kind == SITE_SERVICE && p->pid) {
            double repeated = site_number(p->http, "/admin/stats", "repeated");
            c.repeated += repeated > 0 ? repeated : 0;
        }
    }
    return c;
}

/* -- the ideal ------------------------------------------------------------ */

/* Work of a request in slot-seconds. */
static double work_of(const scenario_t* sc, const load_arrival_t* a) {
    const load_class_t* c = &sc->load.classes[a->class_index];
    double step_s = (sc->step_ms + sc->engine_slots * BATCH_US / 1000.0) / 1000.0;
    return c->model ? a->length * step_s : sc->service_ms / 1000.0;
}

/* Weighted goodput a second if at every moment the slots went to the requests with the highest weight for their work
   that can still be in time. No policy that does not know lengths beforehand can do better. */
static double ideal_goodput(const scenario_t* sc) {
    uint32_t count = 0;
    load_arrival_t* plan = load_plan(&sc->load, &count);
    double* left = calloc(count, sizeof(*left));
    double sum = 0;
    for (uint32_t i = 0; left && i < count; i++) {
        left[i] = work_of(sc, &plan[i]);
    }
    uint32_t steps = (uint32_t)((sc->load.seconds + 60) / IDEAL_STEP_S);
    for (uint32_t step = 0; left && step < steps; step++) {
        double now = step * IDEAL_STEP_S;
        double slots[2] = {(double)sc->services * sc->service_slots, (double)sc->engines * sc->engine_slots};
        for (int kind = 0; kind < 2; kind++) {
            double capacity = slots[kind] * IDEAL_STEP_S;
            while (capacity > 1e-9) {
                uint32_t best = UINT32_MAX;
                double best_value = 0;
                for (uint32_t i = 0; i < count && plan[i].at_s <= now; i++) {
                    const load_class_t* c = &sc->load.classes[plan[i].class_index];
                    double latest = plan[i].at_s + c->deadline_ms / 1000.0 - left[i];
                    if (left[i] <= 0 || (c->model != NULL) != kind || now > latest) {
                        continue;
                    }
                    double value = c->weight / work_of(sc, &plan[i]);
                    if (best == UINT32_MAX || value > best_value) {
                        best = i;
                        best_value = value;
                    }
                }
                if (best == UINT32_MAX) {
                    break;
                }
                double used = left[best] < IDEAL_STEP_S ? left[best] : IDEAL_STEP_S; /* one slot for one step */
                used = used < capacity ? used : capacity;
                capacity -= used;
                left[best] -= used;
                if (left[best] <= 1e-9) {
                    left[best] = 0;
                    sum += sc->load.classes[plan[best].class_index].weight;
                }
            }
        }
    }
    free(left);
    free(plan);
    return sum / sc->load.seconds;
}

/* -- results -------------------------------------------------------------- */

static double jain(const load_desc_t* load, const load_result_t* r) {
    double sum = 0;
    double squares = 0;
    for (uint32_t i = 0; i < load->workspace_count; i++) {
        sum += r->workspace_tokens[i];
        squares += r->workspace_tokens[i] * r->workspace_tokens[i];
    }
    return squares > 0 ? sum * sum / (load->workspace_count * squares) : 0;
}

static json_t* class_json(const load_class_t* c, const load_class_result_t* r) {
    return json_pack("{s:i,s:f,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "sent", (int)r->sent, "attainment",
                     r->sent ? (double)r->in_time / r->sent : 0.0, "p50_ms", (int)cw_hist_quantile(&r->total_ms, 0.5),
                     "p95_ms", (int)cw_hist_quantile(&r->total_ms, 0.95), "p99_ms",
                     (int)cw_hist_quantile(&r->total_ms, 0.99), "first_token_p95_ms",
                     c->model ? (int)cw_hist_quantile(&r->first_ms, 0.95) : 0, "refused", (int)r->refused, "unknown",
                     (int)r->unknown, "failed", (int)(r->failed + r->cut));
}

static json_t* show_policy(const scenario_t* sc, const char* policy, const load_result_t* r, const counts_t* counts,
                           double ideal) {
    json_t* classes = json_object();
    double goodput = 0;
    double delivered = 0;
    uint32_t wrong = 0;
    printf("\n  %s\n    %-22s %6s %10s %7s %7s %7s %8s %8s\n", policy, "class", "sent", "attainment", "p50 ms",
           "p95 ms", "p99 ms", "refused", "unknown");
    for (uint32_t i = 0; i < sc->load.class_count; i++) {
        const load_class_t* c = &sc->load.classes[i];
        const load_class_result_t* cr = &r->classes[i];
        goodput += c->weight * cr->in_time;
        delivered += (double)cr->tokens;
        wrong += cr->wrong;
        printf("    %-22s %6u %10.4f %7u %7u %7u %8u %8u\n", c->name, cr->sent,
               cr->sent ? (double)cr->in_time / cr->sent : 0.0, cw_hist_quantile(&cr->total_ms, 0.5),
               cw_hist_quantile(&cr->total_ms, 0.95), cw_hist_quantile(&cr->total_ms, 0.99), cr->refused,
               cr->unknown + cr->failed + cr->cut);
        json_object_set_new(classes, c->name, class_json(c, cr));
    }
    goodput /= r->seconds;
    double wasted = counts->tokens > 0 ? 1.0 - delivered / counts->tokens : 0;
    printf("    goodput %.1f/s, of ideal %.3f; wasted %.3f; jain %.3f; wrong answers %u, second runs %.0f; retries %u; "
           "generator lag p99 %u ms%s\n",
           goodput, goodput / ideal, wasted, jain(&sc->load, r), wrong, counts->repeated, r->retries, r->lag_p99_ms,
           r->lag_p99_ms > LAG_LIMIT_MS ? " (OVERLOADED: proves nothing)" : "");
    return json_pack("{s:o,s:f,s:f,s:f,s:f,s:i,s:{s:i,s:i}}", "classes", classes, "goodput", goodput, "goodput_ratio",
                     goodput / ideal, "wasted", wasted, "jain", jain(&sc->load, r), "lag_p99_ms", (int)r->lag_p99_ms,
                     "violations", "wrong_answers", (int)wrong, "second_runs", (int)counts->repeated);
}

static void on_load_time(void* user, double at_s) {
    run_t* run = user;
    if (run->scenario->on_time) {
        run->scenario->on_time(run, at_s);
    }
}

static json_t* run_policy(const scenario_t* sc, const char* build, const char* policy, double ideal) {
    static run_t run;
    memset(&run, 0, sizeof(run));
    run.scenario = sc;
    if (!start_site(&run, build, policy)) {
        fprintf(stderr, "the site did not become ready, see %s\n", run.site.dir);
        site_shutdown(&run.site);
        return NULL;
    }
    if (sc->prepare) {
        sc->prepare(&run);
    }
    load_desc_t load = sc->load;
    int seeds = 0;
    for (int i = 0; i < run.site.count && seeds < 15; i++) {
        if (run.site.procs[i].kind == SITE_DAEMON) {
            load.seeds[seeds++] = run.site.procs[i].http;
        }
    }
    load.on_time = on_load_time;
    load.user_data = &run;
    load_result_t result = load_run(&load);
    if (run.frozen) {
        kill(run.frozen->pid, SIGCONT);
    }
    counts_t counts = read_counts(&run);
    json_t* out = show_policy(sc, policy, &result, &counts, ideal);
    site_shutdown(&run.site);
    return out;
}

/* -- scenarios ------------------------------------------------------------ */

static void add_workspaces(load_desc_t* d, int count, const double* shares) {
    static char names[LOAD_MAX_WORKSPACES][16];
    for (int i = 0; i < count; i++) {
        snprintf(names[i], sizeof(names[i]), "workspace%d", i);
        d->workspaces[i] = (load_workspace_t){.token = names[i], .share = shares ? shares[i] : 1.0};
    }
    d->workspace_count = (uint32_t)count;
}

/* Sofia: 8 entries in 4 halls, 18 engines, 4 services; kiosks burst to three times the capacity for 20 s. */
static scenario_t sofia_burst(void) {
    scenario_t sc = {.name = "sofia-burst",
                     .daemons = 8,
                     .halls = 4,
                     .engines = 18,
                     .services = 4,
                     .engine_slots = 8,
                     .service_slots = 4,
                     .service_ms = 40,
                     .step_ms = 20,
                     .reserve = 0,
                     .lag_ms = 500};
    sc.load = (load_desc_t){.class_count = 5, .seconds = 25, .seed = 11};
    sc.load.classes[0] = (load_class_t){.name = "payment-confirmation",
                                        .path = "/v1/services/application/pay",
                                        .once = true,
                                        .deadline_ms = 500,
                                        .weight = 10,
                                        .phases = {{0, 20}}};
    sc.load.classes[1] = (load_class_t){.name = "kiosk-status",
                                        .path = "/v1/services/application/status",
                                        .deadline_ms = 2000,
                                        .weight = 1,
                                        .phases = {{0, 100}, {3, 1100}, {23, 100}}};
    sc.load.classes[2] = (load_class_t){.name = "fault-diagnosis",
                                        .path = "/v1/chat/completions",
                                        .model = "m",
                                        .stream = true,
                                        .deadline_ms = 6000,
                                        .weight = 5,
                                        .length = 60,
                                        .phases = {{0, 20}, {3, 60}, {23, 20}}};
    sc.load.classes[3] = (load_class_t){.name = "refund-explanation",
                                        .path = "/v1/chat/completions",
                                        .model = "m",
                                        .stream = true,
                                        .deadline_ms = 10000,
                                        .weight = 3,
                                        .length = 80,
                                        .phases = {{0, 10}, {3, 80}, {23, 10}}};
    sc.load.classes[4] = (load_class_t){.name = "stock-summary",
                                        .path = "/v1/chat/completions",
                                        .model = "m",
                                        .deadline_ms = 20000,
                                        .weight = 1,
                                        .length = 120,
                                        .phases = {{0, 10}, {3, 80}, {23, 10}}};
    sc.levels[0] = (class_level_t){.tier = 0, .is_protected = true, .queue_ms = 400, .cost = 1, .estimate_ms = 40};
    sc.levels[1] = (class_level_t){.tier = 1, .queue_ms = 1000, .cost = 1, .estimate_ms = 40};
    sc.levels[2] = (class_level_t){.tier = 1, .queue_ms = 2000, .cost = 60, .estimate_ms = 1200};
    sc.levels[3] = (class_level_t){.tier = 2, .queue_ms = 4000, .cost = 80, .estimate_ms = 1600};
    sc.levels[4] = (class_level_t){.tier = 3, .preemptible = true, .queue_ms = 10000, .cost = 120, .estimate_ms = 2400};
    add_workspaces(&sc.load, 10, NULL);
    return sc;
}

/* Almaty: 9 entries in 3 halls, 9 engines, 3 services; doors open and bookings come four times as often for 15 s. */
static scenario_t saqtau_morning(void) {
    scenario_t sc = {.name = "saqtau-morning",
                     .daemons = 9,
                     .halls = 3,
                     .engines = 9,
                     .services = 3,
                     .engine_slots = 8,
                     .service_slots = 4,
                     .service_ms = 60,
                     .step_ms = 20,
                     .reserve = 0,
                     .lag_ms = 500};
    sc.load = (load_desc_t){.class_count = 4, .seconds = 22, .seed = 12};
    sc.load.classes[0] = (load_class_t){.name = "booking",
                                        .path = "/v1/services/application/book",
                                        .once = true,
                                        .deadline_ms = 800,
                                        .weight = 10,
                                        .phases = {{0, 35}, {3, 140}, {18, 35}}};
    sc.load.classes[1] = (load_class_t){.name = "rescheduling",
                                        .path = "/v1/services/application/move",
                                        .deadline_ms = 3000,
                                        .weight = 4,
                                        .phases = {{0, 20}, {3, 120}, {18, 20}}};
    sc.load.classes[2] = (load_class_t){.name = "referral-question",
                                        .path = "/v1/chat/completions",
                                        .model = "m",
                                        .stream = true,
                                        .deadline_ms = 6000,
                                        .weight = 3,
                                        .length = 50,
                                        .phases = {{0, 20}, {3, 70}, {18, 20}}};
    sc.load.classes[3] = (load_class_t){.name = "referral-summary",
                                        .path = "/v1/chat/completions",
                                        .model = "m",
                                        .deadline_ms = 30000,
                                        .weight = 2,
                                        .length = 200,
                                        .phases = {{0, 10}}};
    sc.levels[0] = (class_level_t){.tier = 0, .is_protected = true, .queue_ms = 700, .cost = 1, .estimate_ms = 60};
    sc.levels[1] = (class_level_t){.tier = 1, .queue_ms = 1500, .cost = 1, .estimate_ms = 60};
    sc.levels[2] = (class_level_t){.tier = 1, .queue_ms = 3000, .cost = 50, .estimate_ms = 1000};
    sc.levels[3] = (class_level_t){.tier = 2, .queue_ms = 15000, .cost = 200, .estimate_ms = 4000};
    add_workspaces(&sc.load, 10, NULL);
    return sc;
}

/* One workspace of ten sends ten times its share; all want the same class. */
static scenario_t noisy_workspace(void) {
    static const double shares[10] = {10, 1, 1, 1, 1, 1, 1, 1, 1, 1};
    scenario_t sc = saqtau_morning();
    sc.name = "noisy-workspace";
    sc.load.class_count = 1;
    sc.load.seed = 13;
    sc.load.seconds = 20;
    sc.load.classes[0] = (load_class_t){.name = "referral-question",
                                        .path = "/v1/chat/completions",
                                        .model = "m",
                                        .stream = true,
                                        .deadline_ms = 6000,
                                        .weight = 1,
                                        .length = 50,
                                        .phases = {{0, 130}}};
    sc.levels[0] = (class_level_t){.tier = 1, .queue_ms = 3000, .cost = 50, .estimate_ms = 1000};
    add_workspaces(&sc.load, 10, shares);
    return sc;
}

static void unequal_prepare(run_t* run) {
    site_proc_t* slow = site_find(&run->site, "engine0");
    site_call(&(site_request_t){.address = slow->http, .path = "/admin/set?step_ms=80", .body = ""});
}

static void unequal_time(run_t* run, double at_s) {
    if (run->stage == 0 && at_s > 4) {
        run->stage = 1;
        run->frozen = site_find(&run->site, "engine1");
        kill(run->frozen->pid, SIGSTOP);
    } else if (run->stage == 1 && at_s > 8) {
        run->stage = 2;
        site_proc_t* crashing = site_find(&run->site, "engine2");
        run->lost_tokens = site_number(crashing->http, "/admin/stats", "tokens");
        site_kill(crashing); /* in the middle of its streams */
    }
}

/* One engine four times slower, one frozen, one crashing in the middle of streams; load reports two seconds late. */
static scenario_t unequal_engines(void) {
    scenario_t sc = saqtau_morning();
    sc.name = "unequal-engines";
    sc.lag_ms = 2000;
    sc.load.seed = 14;
    sc.load.classes[0].phases[1] = sc.load.classes[1].phases[1] = (load_phase_t){0, 0};
    sc.load.classes[0].phases[2] = sc.load.classes[1].phases[2] = (load_phase_t){0, 0};
    sc.load.classes[2].phases[0] = (load_phase_t){0, 25};
    sc.load.classes[2].phases[1] = sc.load.classes[2].phases[2] = (load_phase_t){0, 0};
    sc.load.classes[3].phases[0] = (load_phase_t){0, 4};
    sc.prepare = unequal_prepare;
    sc.on_time = unequal_time;
    return sc;
}

/* The daemon with the most work as an allocator. */
static site_proc_t* busiest(run_t* run) {
    site_proc_t* best = NULL;
    size_t most = 0;
    for (int i = 0; i < run->site.count; i++) {
        site_proc_t* p = &run->site.procs[i];
        if (p->kind != SITE_DAEMON || !p->pid || p == run->frozen) {
            continue;
        }
        static site_answer_t a;
        a = site_call(&(site_request_t){.address = p->operator_http, .path = "/v1/status", .timeout_ms = 500});
        json_t* root = json_loads(a.body, 0, NULL);
        size_t shards = json_array_size(json_object_get(root, "shards"));
        json_decref(root);
        if (!best || shards > most) {
            best = p;
            most = shards;
        }
    }
    return best;
}

static void loss_time(run_t* run, double at_s) {
    if (run->stage == 0 && at_s > 7) {
        run->stage = 1;
        site_kill(busiest(run));
    } else if (run->stage == 1 && at_s > 12) {
        run->stage = 2;
        run->frozen = busiest(run);
        kill(run->frozen->pid, SIGSTOP);
    } else if (run->stage == 2 && at_s > 17) {
        run->stage = 3;
        kill(run->frozen->pid, SIGCONT);
    }
}

/* Sofia's burst; the host with the most shards is killed in it, another stopped for 5 s. */
static scenario_t allocator_loss(void) {
    scenario_t sc = sofia_burst();
    sc.name = "allocator-loss";
    sc.load.seed = 15;
    sc.on_time = loss_time;
    return sc;
}

int main(int argc, char** argv) {
    const char* build = argc > 1 ? argv[1] : "build";
    const char* name = argc > 2 ? argv[2] : "sofia-burst";
    const char* only = argc > 3 ? argv[3] : NULL; /* one policy, for trials */
    const scenario_t all[] = {sofia_burst(), saqtau_morning(), noisy_workspace(), unequal_engines(), allocator_loss()};
    const scenario_t* sc = NULL;
    for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
        sc = strcmp(all[i].name, name) == 0 ? &all[i] : sc;
    }
    if (!sc) {
        fprintf(stderr, "no scenario \"%s\"\n", name);
        return 2;
    }
    setvbuf(stdout, NULL, _IOLBF, 0);
    double ideal = ideal_goodput(sc);
    printf("%s: %d entries in %d halls, %d engines, %d services; ideal goodput %.1f/s\n", sc->name, sc->daemons,
           sc->halls, sc->engines, sc->services, ideal);
    json_t* results = json_object();
    for (int i = 0; i < POLICY_COUNT; i++) {
        json_t* result = (only && strcmp(only, policies[i]) != 0) ? NULL : run_policy(sc, build, policies[i], ideal);
        if (result) {
            json_object_set_new(results, i ? policies[i] : "chalkway", result);
        }
    }
    return bench_write(build, sc->name,
                       json_pack("{s:s,s:i,s:f,s:f,s:o}", "scenario", sc->name, "seed", (int)sc->load.seed, "seconds",
                                 sc->load.seconds, "ideal_goodput", ideal, "policies", results));
}
