/* Injects faults into the processes of a soak on a seeded schedule. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../standins/standin.h"
#include "soak_site.h"

#define FAULT_DURATION_MIN_MS 300
#define FAULT_DURATION_SPREAD_MS 3500
#define FAULT_INTERVAL_MIN_MS 200 /* from one fault to the next, at least */
#define FAULT_INTERVAL_SPREAD_MS 1200
#define LEAVE_DURATION_MS (SOAK_DRAIN_MS + 4000) /* time for which a leaving server goes on serving */
#define SLOW_FACTOR 5
#define RATE_LIMIT_DURATION_MS 9000 /* long enough for the rate check of soak_pushback.c */
#define STRAIN_DURATION_MS 9000     /* the strain takes effect 3 s after it was announced */
#define SILENCE_MIN_MS 300
#define SILENCE_SPREAD_MS 1700
#define SILENCE_PAUSE_MS 700 /* between two silences of a series */
#define LOSS_ONE_IN 25       /* one fault in this many kills all hosts at once */
#define LOSS_MIN_MS 500      /* until the first host starts again after a loss of all, at least */
#define LOSS_SPREAD_MS 2500
#define HOST_START_SPREAD_MS 150 /* between the starts of hosts after a loss of all */
#define SOURCE_AFTER_MIN_MS 300  /* from the starts of the hosts until a source that was taken away returns */
#define SOURCE_AFTER_SPREAD_MS 1200
#define REPLACE_MIN_MS 2500 /* time for which an engine that a release replaces goes on serving */
#define REPLACE_SPREAD_MS 1000
#define UPGRADE_RETRY_MS 50 /* until it is checked again whether an upstream to upgrade has exited */

typedef struct fault_kind_t {
    const char* name;
    proc_kind_t target_kind; /* kind of the process that is hit; there is one PROC_SOURCE and one PROC_CALLERS */
    uint32_t weight;
    bool (*begin)(active_fault_t* a); /* returns false if the fault is not possible now */
    void (*end)(active_fault_t* a);
    bool ends_with_process; /* a fault of a host that is over when the host is killed */
} fault_kind_t;

/* Whether the process has installed a handler for the signal. On a busy machine a program may take long to be loaded,
   and until then any signal ends it, whatever the program does. */
static bool has_signal_handler(pid_t pid, int number) {
    char path[32];
    char line[128];
    unsigned long long caught = 0;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    FILE* file = fopen(path, "r");
    while (file && fgets(line, sizeof(line), file) && sscanf(line, "SigCgt: %llx", &caught) != 1) {
    }
    if (file) {
        fclose(file);
    }
    return (caught >> (number - 1)) & 1U;
}

static bool stop_begin(active_fault_t* a) {
    if (!has_signal_handler(a->target->pid, SIGTERM)) {
        return false;
    }
    a->target->is_stopping = true;
    kill(a->target->pid, SIGTERM);
    return true;
}

static bool kill_begin(active_fault_t* a) {
    a->target->is_stopping = true;
    if (a->target->pid) {
        kill(a->target->pid, SIGKILL);
    }
    return true;
}

static void host_restart(active_fault_t* a) {
    if (!a->target->pid && !a->soak->is_ending) {
        soak_restart_host(a->target);
    } else if (a->target->is_stopping) {
        soak_start_timer(a->soak, &a->timer, 200); /* the process has not exited yet */
    }
}

static bool freeze_begin(active_fault_t* a) {
    kill(a->target->pid, SIGSTOP);
    return true;
}

static void freeze_end(active_fault_t* a) {
    if (a->target->pid) {
        kill(a->target->pid, SIGCONT);
    }
}

static bool suspend_begin(active_fault_t* a) {
    a->target->suspended_since_ms = standin_now_ms();
    return freeze_begin(a);
}

static void suspend_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_resume_host(a->target);
    }
}

static bool cut_begin(active_fault_t* a) {
    soak_set_host_cut(a->target, true);
    return true;
}

static void cut_end(active_fault_t* a) {
    soak_set_host_cut(a->target, false);
}

static bool reload_begin(active_fault_t* a) {
    if (!has_signal_handler(a->target->pid, SIGHUP)) {
        return false;
    }
    soak_write_settings(a->target, 500 + (uint32_t)(soak_random(a->soak) % 1500));
    kill(a->target->pid, SIGHUP);
    return true;
}

static void no_op(active_fault_t* a) {
    (void)a;
}

static bool crash_begin(active_fault_t* a) {
    kill(a->target->pid, SIGKILL);
    return true;
}

static void upstream_replace(active_fault_t* a) {
    soak_start_upstream(a->soak, a->target->is_engine);
}

/* The upstream exits without announcing that it leaves. Its entry stays published until a restart under the same id. */
static bool restart_begin(active_fault_t* a) {
    if (a->target->is_leaving) {
        return false;
    }
    a->target->has_stale_entry = true;
    kill(a->target->pid, SIGKILL);
    return true;
}

static void restart_end(active_fault_t* a) {
    if (!ev_is_active(&a->target->restart_timer)) {
        soak_restart_upstream(a->target);
    }
}

/* The upstream exits, and starts again under its id and address with another version of its software. Until then, and
   while the source is away, its entry names the version before. */
static bool upgrade_begin(active_fault_t* a) {
    if (a->target->is_leaving) {
        return false;
    }
    a->target->has_stale_entry = true;
    kill(a->target->pid, soak_random(a->soak) % 2 ? SIGTERM : SIGKILL);
    return true;
}

static void upgrade_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_start_timer(a->soak, &a->timer, UPGRADE_RETRY_MS);
    } else if (!ev_is_active(&a->target->restart_timer)) {
        soak_restart_upstream_in_place(a->target);
    }
}

/* A single upstream is upgraded, half of the time while the source is away. */
static bool upgrade_one_begin(active_fault_t* a) {
    if (a->target->is_leaving) {
        return false;
    }
    a->soak->version++;
    if (soak_random(a->soak) % 2) {
        int64_t back_ms = SOURCE_AFTER_MIN_MS + (int64_t)(soak_random(a->soak) % SOURCE_AFTER_SPREAD_MS);
        soak_take_source_away(a->soak, (int64_t)(ev_timer_remaining(a->soak->loop, &a->timer) * 1000) + back_ms);
    }
    return upgrade_begin(a);
}

static bool leave_begin(active_fault_t* a) {
    if (a->target->is_leaving) {
        return false;
    }
    a->target->is_leaving = true;
    soak_record_event(a->soak, "leaves %s", a->target->name);
    soak_post(a->soak, a->target->address, "/admin/set?leaving=1", "");
    soak_publish_servers(a->soak);
    soak_start_upstream(a->soak, a->target->is_engine);
    soak_start_timer(a->soak, &a->timer, LEAVE_DURATION_MS);
    return true;
}

static void leave_end(active_fault_t* a) {
    if (a->target->pid) {
        kill(a->target->pid, SIGTERM);
    }
}

static bool slow_begin(active_fault_t* a) {
    char path[40];
    snprintf(path, sizeof(path), "/admin/set?slow=%d", SLOW_FACTOR);
    soak_post(a->soak, a->target->address, path, "");
    return true;
}

static void slow_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_post(a->soak, a->target->address, "/admin/set?slow=1", "");
    }
}

static bool limit_begin(active_fault_t* a) {
    static const char* const rates[] = {"0", "0.5", "1.7", "4"};
    char path[40];
    snprintf(path, sizeof(path), "/admin/set?limit=%s", rates[soak_random(a->soak) % 4]);
    soak_post(a->soak, a->target->address, path, "");
    int64_t remaining_ms = a->soak->faults_until_ms - standin_now_ms();
    soak_start_timer(a->soak, &a->timer, remaining_ms < RATE_LIMIT_DURATION_MS ? remaining_ms : RATE_LIMIT_DURATION_MS);
    return true;
}

static void limit_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_post(a->soak, a->target->address, "/admin/set?limit=-1", "");
    }
}

/* Sets the limit on rejections of all upstreams that are of the same kind as the target. */
static void set_strain(const active_fault_t* a, int rejects) {
    char path[40];
    snprintf(path, sizeof(path), "/admin/set?rejects=%d", rejects);
    for (uint32_t i = 0; i < a->soak->proc_count; i++) {
        const proc_t* p = &a->soak->procs[i];
        if (p->kind == PROC_UPSTREAM && p->pid && p->is_ready && p->is_engine == a->target->is_engine) {
            soak_post(a->soak, p->address, path, "");
        }
    }
}

static bool is_strained(const active_fault_t* a) {
    for (uint32_t i = 0; i < SOAK_FAULTS_MAX; i++) {
        const active_fault_t* other = &a->soak->active_faults[i];
        if (other != a && other->kind == a->kind && other->target->is_engine == a->target->is_engine) {
            return true;
        }
    }
    return false;
}

static bool strain_begin(active_fault_t* a) {
    if (is_strained(a)) {
        return false;
    }
    set_strain(a, 1 + (int)(soak_random(a->soak) % 4));
    int64_t remaining_ms = a->soak->faults_until_ms - standin_now_ms();
    soak_start_timer(a->soak, &a->timer, remaining_ms < STRAIN_DURATION_MS ? remaining_ms : STRAIN_DURATION_MS);
    return true;
}

static void strain_end(active_fault_t* a) {
    set_strain(a, -1);
}

static bool backoff_begin(active_fault_t* a) {
    char path[40];
    snprintf(path, sizeof(path), "/admin/set?rest=%.1f", 0.5 + (double)(soak_random(a->soak) % 30) / 10);
    soak_post(a->soak, a->target->address, path, "");
    return true;
}

static void backoff_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_post(a->soak, a->target->address, "/admin/set?rest=0", "");
    }
}

static bool unframed_begin(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/set?unframed=1", "");
    return true;
}

static void unframed_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_post(a->soak, a->target->address, "/admin/set?unframed=0", "");
    }
}

static bool endless_begin(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/set?endless=1", "");
    return true;
}

static void endless_end(active_fault_t* a) {
    if (a->target->pid) {
        soak_post(a->soak, a->target->address, "/admin/set?endless=0", "");
    }
}

/* Upstreams that start from now on have another version of their software, and one of the earlier version leaves. */
static bool release_begin(active_fault_t* a) {
    a->soak->version++;
    return leave_begin(a);
}

/* An upstream leaves in a release that replaces all of the earlier version. */
static bool replace_begin(active_fault_t* a) {
    if (!leave_begin(a)) {
        return false;
    }
    soak_start_timer(a->soak, &a->timer, REPLACE_MIN_MS + (int64_t)(soak_random(a->soak) % REPLACE_SPREAD_MS));
    return true;
}

static bool source_down(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/mode?down=1", "");
    return true;
}

static bool source_slow(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/mode?slow_ms=400", "");
    return true;
}

static bool source_lossy(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/mode?lose=30", "");
    return true;
}

static bool source_stale(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/mode?stale=1", "");
    return true;
}

static void source_recover(active_fault_t* a) {
    soak_post(a->soak, a->target->address, "/admin/mode?down=0&slow_ms=0&lose=0&stale=0", "");
}

static bool config_begin(active_fault_t* a) {
    soak_publish_catalog(a->soak);
    return true;
}

static bool burst_begin(active_fault_t* a) {
    kill(a->target->pid, SIGUSR1);
    return true;
}

static void burst_end(active_fault_t* a) {
    if (a->target->pid) {
        kill(a->target->pid, SIGUSR2);
    }
}

/* Silences one, most or all upstreams of one kind that no other fault has hit. */
static void silence_upstreams(soak_t* s) {
    static const uint32_t shares[] = {10, 60, 100}; /* percent */
    bool is_engine = soak_random(s) % 4 != 0;
    uint64_t share = shares[soak_random(s) % 3];
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        bool is_eligible = p->kind == PROC_UPSTREAM && p->pid && p->is_ready && p->is_engine == is_engine;
        if (is_eligible && !soak_is_target(s, p) && soak_random(s) % 100 < share) {
            p->is_silent = true;
            kill(p->pid, SIGSTOP);
            soak_record_event(s, "fault silent %s", p->name);
        }
    }
}

static bool wake_upstreams(soak_t* s) {
    bool has_woken = false;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        if (p->is_silent) {
            if (p->pid) {
                kill(p->pid, SIGCONT);
            }
            p->is_silent = false;
            has_woken = true;
            soak_record_event(s, "over silent %s", p->name);
        }
    }
    return has_woken;
}

/* Sound upstreams fall silent for a while, several times in a series. */
static bool silences_begin(active_fault_t* a) {
    silence_upstreams(a->soak);
    soak_start_timer(a->soak, &a->timer, SILENCE_MIN_MS + (int64_t)(soak_random(a->soak) % SILENCE_SPREAD_MS));
    return true;
}

static void silences_end(active_fault_t* a) {
    soak_t* s = a->soak;
    bool is_another_due = standin_now_ms() + SILENCE_MIN_MS + SILENCE_SPREAD_MS < s->faults_until_ms;
    bool has_woken = wake_upstreams(s);
    if (has_woken && is_another_due && soak_random(s) % 3) {
        soak_start_timer(s, &a->timer, SILENCE_PAUSE_MS);
    } else if (!has_woken && is_another_due) {
        silences_begin(a);
    }
}

static const fault_kind_t fault_kinds[] = {
    {"stop", PROC_HOST, 4, stop_begin, host_restart, true},
    {"kill", PROC_HOST, 2, kill_begin, host_restart, true},
    {"freeze", PROC_HOST, 2, freeze_begin, freeze_end, true},
    {"suspend", PROC_HOST, 2, suspend_begin, suspend_end, true},
    {"cut", PROC_HOST, 4, cut_begin, cut_end, false},
    {"reload", PROC_HOST, 2, reload_begin, no_op, false},
    {"crash", PROC_UPSTREAM, 2, crash_begin, upstream_replace, false},
    {"restart", PROC_UPSTREAM, 3, restart_begin, restart_end, false},
    {"leave", PROC_UPSTREAM, 3, leave_begin, leave_end, false},
    {"freeze", PROC_UPSTREAM, 1, freeze_begin, freeze_end, false},
    {"slow", PROC_UPSTREAM, 2, slow_begin, slow_end, false},
    {"limit", PROC_UPSTREAM, 8, limit_begin, limit_end, false},
    {"rest", PROC_UPSTREAM, 6, backoff_begin, backoff_end, false},
    {"strain", PROC_UPSTREAM, 4, strain_begin, strain_end, false},
    {"release", PROC_UPSTREAM, 3, release_begin, leave_end, false},
    {"replace", PROC_UPSTREAM, 0, replace_begin, leave_end, false},
    {"upgrade", PROC_UPSTREAM, 0, upgrade_begin, upgrade_end, false},
    {"upgrade-one", PROC_UPSTREAM, 3, upgrade_one_begin, upgrade_end, false},
    {"unframed", PROC_UPSTREAM, 10, unframed_begin, unframed_end, false},
    {"endless", PROC_UPSTREAM, 6, endless_begin, endless_end, false},
    {"source-down", PROC_SOURCE, 1, source_down, source_recover, false},
    {"source-slow", PROC_SOURCE, 1, source_slow, source_recover, false},
    {"source-lossy", PROC_SOURCE, 1, source_lossy, source_recover, false},
    {"source-stale", PROC_SOURCE, 1, source_stale, source_recover, false},
    {"config", PROC_SOURCE, 3, config_begin, no_op, false},
    {"silences", PROC_SOURCE, 8, silences_begin, silences_end, false},
    {"burst", PROC_CALLERS, 3, burst_begin, burst_end, false},
};
#define FAULT_KINDS (sizeof(fault_kinds) / sizeof(fault_kinds[0]))

bool soak_is_target(const soak_t* s, const proc_t* p) {
    for (uint32_t i = 0; i < SOAK_FAULTS_MAX; i++) {
        if (s->active_faults[i].kind && s->active_faults[i].target == p) {
            return true;
        }
    }
    return false;
}

static proc_t* pick_target(soak_t* s, proc_kind_t kind) {
    uint32_t eligible_count = 0;
    proc_t* picked = NULL;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        bool is_eligible = p->kind == kind && p->pid && (p->is_ready || kind == PROC_HOST || kind == PROC_CALLERS);
        if (is_eligible && !soak_is_target(s, p) && soak_random(s) % ++eligible_count == 0) {
            picked = p;
        }
    }
    return picked;
}

static void on_fault_end(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    active_fault_t* a = w->data;
    char target[48];
    const fault_kind_t* kind = a->kind;
    soak_format_proc_name(a->target, target, sizeof(target));
    kind->end(a);
    if (!ev_is_active(&a->timer)) {
        soak_record_event(a->soak, "over %s %s", kind->name, target);
        a->kind = NULL;
    }
}

static void begin_fault(soak_t* s, const fault_kind_t* kind, proc_t* target, int64_t duration_ms) {
    active_fault_t* a = NULL;
    for (uint32_t i = 0; i < SOAK_FAULTS_MAX && !a; i++) {
        a = s->active_faults[i].kind ? NULL : &s->active_faults[i];
    }
    if (!a || !target) {
        return;
    }
    char name[48];
    int64_t remaining_ms = s->faults_until_ms - standin_now_ms();
    *a = (active_fault_t){.soak = s, .kind = kind, .target = target};
    ev_timer_init(&a->timer, on_fault_end, 0.0, 0.0);
    a->timer.data = a;
    soak_format_proc_name(target, name, sizeof(name));
    soak_record_event(s, "fault %s %s", kind->name, name);
    soak_start_timer(s, &a->timer, duration_ms < remaining_ms ? duration_ms : remaining_ms);
    if (!kind->begin(a)) {
        ev_timer_stop(s->loop, &a->timer);
        soak_record_event(s, "over %s %s", kind->name, name);
        a->kind = NULL;
    }
}

static const fault_kind_t* find_kind(const char* name) {
    for (size_t i = 0; i < FAULT_KINDS; i++) {
        if (strcmp(fault_kinds[i].name, name) == 0) {
            return &fault_kinds[i];
        }
    }
    return NULL;
}

void soak_begin_fault(soak_t* s, const char* name, proc_t* target, int64_t duration_ms) {
    begin_fault(s, find_kind(name), target, duration_ms);
}

/* Ends the faults of the host that do not outlive its process. */
static void end_faults_of_process(soak_t* s, const proc_t* host) {
    char name[48];
    soak_format_proc_name(host, name, sizeof(name));
    for (uint32_t i = 0; i < SOAK_FAULTS_MAX; i++) {
        active_fault_t* a = &s->active_faults[i];
        if (a->kind && a->target == host && a->kind->ends_with_process) {
            ev_timer_stop(s->loop, &a->timer);
            soak_record_event(s, "over %s %s", a->kind->name, name);
            a->kind = NULL;
        }
    }
}

void soak_take_source_away(soak_t* s, int64_t duration_ms) {
    static const char prefix[] = "source-";
    for (uint32_t i = 0; i < SOAK_FAULTS_MAX; i++) {
        active_fault_t* a = &s->active_faults[i];
        if (!a->kind || strncmp(a->kind->name, prefix, sizeof(prefix) - 1) != 0) {
            continue;
        }
        if (strcmp(a->kind->name, "source-down") == 0 &&
            ev_timer_remaining(s->loop, &a->timer) * 1000 < (double)duration_ms) {
            soak_start_timer(s, &a->timer, duration_ms);
        }
        return; /* the end of one fault of the source would end another one, too */
    }
    soak_begin_fault(s, "source-down", s->source, duration_ms);
}

static bool are_hosts_lost(const soak_t* s) {
    for (uint32_t i = 0; i < s->proc_count; i++) {
        if (s->procs[i].kind == PROC_HOST && s->procs[i].pid) {
            return false;
        }
    }
    return true;
}

void soak_lose_all_hosts(soak_t* s, bool takes_source_away) {
    int64_t remaining_ms = s->faults_until_ms - standin_now_ms();
    int64_t spread_ms = remaining_ms - LOSS_MIN_MS - HOST_START_SPREAD_MS;
    if (spread_ms <= 0 || are_hosts_lost(s)) {
        return;
    }
    spread_ms = spread_ms < LOSS_SPREAD_MS ? spread_ms : LOSS_SPREAD_MS;
    int64_t duration_ms = LOSS_MIN_MS + (int64_t)(soak_random(s) % (uint64_t)spread_ms);
    if (takes_source_away) {
        int64_t after_ms = SOURCE_AFTER_MIN_MS + (int64_t)(soak_random(s) % SOURCE_AFTER_SPREAD_MS);
        soak_take_source_away(s, duration_ms + HOST_START_SPREAD_MS + after_ms);
    }
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        if (p->kind == PROC_HOST) {
            end_faults_of_process(s, p);
            soak_begin_fault(s, "kill", p, duration_ms + (int64_t)(soak_random(s) % HOST_START_SPREAD_MS));
        }
    }
}

static void on_next_fault(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    if (standin_now_ms() + FAULT_DURATION_MIN_MS > s->faults_until_ms) {
        return;
    }
    uint32_t weight_sum = 0;
    for (size_t i = 0; i < FAULT_KINDS; i++) {
        weight_sum += fault_kinds[i].weight;
    }
    uint32_t at = (uint32_t)(soak_random(s) % weight_sum);
    size_t kind = 0;
    while (at >= fault_kinds[kind].weight) {
        at -= fault_kinds[kind++].weight;
    }
    if (soak_random(s) % LOSS_ONE_IN == 0) {
        soak_lose_all_hosts(s, soak_random(s) % 3 == 0);
    } else {
        proc_t* target = pick_target(s, fault_kinds[kind].target_kind);
        int64_t duration_ms = FAULT_DURATION_MIN_MS + (int64_t)(soak_random(s) % FAULT_DURATION_SPREAD_MS);
        begin_fault(s, &fault_kinds[kind], target, duration_ms);
    }
    soak_start_timer(s, &s->next_fault_timer,
                     FAULT_INTERVAL_MIN_MS + (int64_t)(soak_random(s) % FAULT_INTERVAL_SPREAD_MS));
}

void soak_faults_begin(soak_t* s) {
    ev_timer_stop(s->loop, &s->next_fault_timer);
    ev_timer_init(&s->next_fault_timer, on_next_fault, 0.0, 0.0);
    s->next_fault_timer.data = s;
    soak_start_timer(s, &s->next_fault_timer, FAULT_INTERVAL_MIN_MS);
    soak_releases_begin(s);
    s->phase_count++;
}

void soak_faults_stop(soak_t* s) {
    ev_timer_stop(s->loop, &s->next_fault_timer);
    soak_releases_stop(s);
}
