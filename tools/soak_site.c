/* Starts and stops the processes of a soak, and publishes the configuration to them. */
#include "soak_site.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../standins/standin.h"
#include "../tests/soak_suspend.h"

#define MAX_ARGS 80
#define WATCH_INTERVAL_MS 20 /* period of the timer that detects scheduling delays */
#define LATE_WAKEUP_MS 200   /* a longer gap shows that the machine did not schedule processes in time */
#define ENGINE_SLOTS 12
#define ENGINE_MEMORY_TOKENS 400000
#define PREFILL_US_PER_TOKEN "18"
#define SERVICE_SLOTS 6
#define SERVICE_MS "40"
#define LOOKUP_PORT 7102
#define RESTART_MIN_MS 1200 /* from the crash of an upstream to its restart, at least */
#define RESTART_SPREAD_MS 1600
#define CRASH_EXIT_STATUS 3 /* exit status of an upstream that a query of death crashed */

uint64_t soak_random(soak_t* s) {
    return cw_mix(s->seed, ++s->draw_count);
}

void soak_record_event(soak_t* s, const char* fmt, ...) {
    char line[200];
    int n = snprintf(line, sizeof(line), "S %" PRId64 " ", standin_now_ms());
    va_list args;
    va_start(args, fmt);
    n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, args);
    va_end(args);
    line[n++] = '\n';
    cw_buffer_add(&s->record, line, (size_t)n);
}

void soak_start_timer(soak_t* s, ev_timer* t, int64_t ms) {
    ev_timer_stop(s->loop, t);
    ev_timer_set(t, ms > 0 ? (double)ms / 1000.0 : 0.0, 0.0);
    ev_timer_start(s->loop, t);
}

/* Records a late firing of watch_timer as a fault that began when the timer last fired. */
static void record_late_wakeup(soak_t* s, int64_t now_ms) {
    char line[80];
    int n = snprintf(line, sizeof(line), "S %" PRId64 " fault machine -\n", s->last_watch_ms);
    cw_buffer_add(&s->record, line, (size_t)n);
    soak_record_event(s, "over machine -");
    s->late_count++;
    s->longest_late_ms =
        now_ms - s->last_watch_ms > s->longest_late_ms ? now_ms - s->last_watch_ms : s->longest_late_ms;
}

static void on_watch(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    int64_t now_ms = standin_now_ms();
    if (s->last_watch_ms && now_ms - s->last_watch_ms > LATE_WAKEUP_MS) {
        record_late_wakeup(s, now_ms);
    }
    s->last_watch_ms = now_ms;
}

void soak_watch_scheduling(soak_t* s) {
    ev_timer_init(&s->watch_timer, on_watch, WATCH_INTERVAL_MS / 1000.0, WATCH_INTERVAL_MS / 1000.0);
    s->watch_timer.data = s;
    ev_timer_start(s->loop, &s->watch_timer);
}

/* -- published configuration ---------------------------------------------- */

static void on_posted(void* user, const cw_call_result_t* result) {
    (void)result;
    free(user);
}

void soak_post(soak_t* s, const char* address, const char* path, const char* body) {
    char url[160];
    char* body_copy = strdup(body);
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    cw_client_call(s->client, &(cw_call_desc_t){.method = "POST",
                                                .url = url,
                                                .body = body_copy,
                                                .size = strlen(body_copy),
                                                .timeout_ms = 2000,
                                                .on_done = on_posted,
                                                .user_data = body_copy});
}

static void add_text(cw_buffer_t* out, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
static void add_text(cw_buffer_t* out, const char* fmt, ...) {
    char text[600];
    va_list args;
    va_start(args, fmt);
    int n = vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    cw_buffer_add(out, text, (size_t)n);
}

void soak_publish_catalog(soak_t* s) {
    cw_buffer_t text = {0};
    add_text(&text,
             "{\"revision\":%" PRId64 ",\"pools\":[{\"name\":\"engines\",\"health\":\"/health\",\"connections\":600,"
             "\"engine\":{\"slots\":%d,\"memory_tokens\":%d,\"event_tokens\":1}},"
             "{\"name\":\"services\",\"health\":\"/health\",\"connections\":600}],"
             "\"limits\":{\"head_bytes\":16384,\"body_bytes\":1048576,\"head_ms\":3000,\"idle_ms\":15000},\"routes\":[",
             ++s->revision, ENGINE_SLOTS, ENGINE_MEMORY_TOKENS);
    for (int i = 0; i < SOAK_KINDS; i++) {
        const soak_kind_t* k = &soak_kinds[i];
        add_text(&text,
                 "%s{\"name\":\"%s\",\"host\":\"soak.example\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%u,"
                 "\"target_ms\":%u,\"gap_ms\":%u,\"tier\":%u,\"attempts\":2,\"open\":true,\"resume\":%s,"
                 "\"pools\":[{\"pool\":\"%s\"}]}",
                 i ? "," : "", k->name, k->path, k->route_kind, k->timeout_ms, k->target_ms,
                 k->tokens_max ? k->target_ms : 0, k->tier, k->is_resumable ? "true" : "false",
                 k->tokens_max ? "engines" : "services");
    }
    for (int64_t i = 0; i < s->revision % 4; i++) { /* each revision adds or removes routes */
        add_text(&text,
                 ",{\"name\":\"more%" PRId64 "\",\"host\":\"more.example\",\"prefix\":\"/%" PRId64
                 "/\",\"kind\":\"once\",\"timeout_ms\":1000,\"target_ms\":300,\"tier\":2,\"attempts\":1,\"open\":true,"
                 "\"pools\":[{\"pool\":\"services\"}]}",
                 i, i);
    }
    add_text(&text, "]}");
    soak_post(s, s->source->address, "/admin/catalog", text.data);
    cw_buffer_free(&text);
}

/* Revision of the next list: the time, or more where several lists are published within a millisecond. Hosts that ask a
   peer for the changes since a revision would get none between two lists of one revision. */
static int64_t next_servers_revision(soak_t* s) {
    int64_t now_ms = standin_now_ms();
    s->servers_revision = now_ms > s->servers_revision ? now_ms : s->servers_revision + 1;
    return s->servers_revision;
}

void soak_publish_servers(soak_t* s) {
    cw_buffer_t text = {0};
    add_text(&text, "{\"at\":%" PRId64 ",\"servers\":[", next_servers_revision(s));
    bool first = true;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        const proc_t* p = &s->procs[i];
        if (p->kind == PROC_UPSTREAM && (p->pid || p->has_stale_entry) && p->is_ready) {
            add_text(&text,
                     "%s{\"id\":\"%s\",\"address\":\"%s\",\"pool\":\"%s\",\"hall\":\"a\",\"slots\":%d,\"leaving\":%s,"
                     "\"version\":\"%u\",\"started_ms\":%" PRId64 "}",
                     first ? "" : ",", p->name, p->address, p->is_engine ? "engines" : "services",
                     p->is_engine ? ENGINE_SLOTS : SERVICE_SLOTS, p->is_leaving ? "true" : "false", p->version,
                     p->started_ms);
            first = false;
        }
    }
    add_text(&text, "]}");
    soak_post(s, s->source->address, "/admin/servers", text.data);
    cw_buffer_free(&text);
}

/* -- processes ------------------------------------------------------------ */

static void handle_line(proc_t* p, const char* line) {
    soak_t* s = p->soak;
    static const char ready[] = "ready http=";
    if (strncmp(line, ready, sizeof(ready) - 1) == 0) {
        cw_copy(p->address, sizeof(p->address), line + sizeof(ready) - 1);
        p->is_ready = true;
        if (p->replaces) {
            p->replaces->has_stale_entry = false;
            p->replaces = NULL;
        }
        if (p->kind == PROC_UPSTREAM) {
            soak_record_event(s, "up %s %d %u", p->name, p->is_engine ? ENGINE_SLOTS : 0, p->version);
        } else {
            soak_publish_catalog(s);
        }
        if (s->source->is_ready) {
            soak_publish_servers(s);
        }
    } else if (line[0] == 'C' || line[0] == 'U') {
        cw_buffer_add(&s->record, line, strlen(line));
        cw_buffer_add(&s->record, "\n", 1);
    }
}

static void on_output(struct ev_loop* loop, ev_io* w, int events) {
    (void)events;
    proc_t* p = w->data;
    char data[65536];
    ssize_t size = read(w->fd, data, sizeof(data));
    if (size <= 0) {
        if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
            ev_io_stop(loop, w);
            close(w->fd);
            cw_buffer_free(&p->line);
        }
        return;
    }
    cw_buffer_add(&p->line, data, (size_t)size);
    size_t used = 0;
    for (char* end = NULL; (end = memchr(p->line.data + used, '\n', p->line.size - used)) != NULL;) {
        *end = 0;
        handle_line(p, p->line.data + used);
        used = (size_t)(end - p->line.data) + 1;
    }
    cw_buffer_consume(&p->line, used);
}

static void on_restart(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    proc_t* p = w->data;
    if (!p->soak->is_ending) {
        soak_restart_upstream(p);
    }
    soak_record_event(p->soak, "over died %s", p->name);
}

/* Restarts an upstream that a query of death crashed, after a delay and under the same id; until then its entry stays
   published. */
static void schedule_restart(proc_t* p) {
    p->has_stale_entry = true;
    ev_timer_init(&p->restart_timer, on_restart, 0.0, 0.0);
    p->restart_timer.data = p;
    soak_start_timer(p->soak, &p->restart_timer, RESTART_MIN_MS + (int64_t)(soak_random(p->soak) % RESTART_SPREAD_MS));
}

static void on_child(struct ev_loop* loop, ev_child* w, int events) {
    (void)events;
    proc_t* p = w->data;
    soak_t* s = p->soak;
    ev_child_stop(loop, w);
    p->pid = 0;
    int code = WIFEXITED(w->rstatus) ? WEXITSTATUS(w->rstatus) : 128 + WTERMSIG(w->rstatus);
    if (p->kind == PROC_UPSTREAM) {
        bool has_lost_address = p->keeps_address && !p->is_ready;
        soak_record_event(s, "down %s", p->name);
        if (code == CRASH_EXIT_STATUS) {
            schedule_restart(p);
        } else if (has_lost_address && !s->is_ending) { /* another socket took the port meanwhile */
            soak_restart_upstream(p);
        }
        soak_publish_servers(s);
    } else if (p->kind == PROC_HOST) {
        soak_record_event(s, "ended %s:%d %d", p->name, SOAK_CALLER_PORT, code);
        if (!p->is_stopping && !s->is_ending) {
            soak_restart_host(p);
        }
    }
    for (uint32_t i = 0; s->is_ending && i < s->proc_count; i++) {
        if (s->procs[i].pid && s->procs[i].kind == PROC_HOST) {
            return;
        }
    }
    if (s->is_ending) {
        ev_break(loop, EVBREAK_ALL);
    }
}

void soak_resume_host(proc_t* p) {
    p->suspended_total_ms += standin_now_ms() - p->suspended_since_ms;
    soak_suspend_write(p);
    kill(p->pid, SIGCONT);
}

static void run_program(const proc_t* p, const char* program, const char* const* args, int out) {
    char path[192];
    char* argv[MAX_ARGS + 2] = {path};
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* no process outlives the soak */
    snprintf(path, sizeof(path), "%s/%s", p->soak->build_dir, program);
    for (int i = 0; args[i] && i < MAX_ARGS; i++) {
        argv[i + 1] = (char*)args[i];
    }
    if (p->kind == PROC_HOST) {
        soak_suspend_prepare(p);
    }
    dup2(out, STDOUT_FILENO);
    dup2(out, p->kind == PROC_HOST ? STDERR_FILENO : STDOUT_FILENO);
    execv(path, argv);
    _exit(127);
}

static bool launch(proc_t* p, const char* program, const char* const* args) {
    soak_t* s = p->soak;
    int fds[2] = {-1, -1};
    char log[128];
    snprintf(log, sizeof(log), "%s/%s.log", s->dir, p->name);
    bool is_host = p->kind == PROC_HOST;
    int out = is_host                      ? open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)
              : pipe2(fds, O_CLOEXEC) == 0 ? fds[1]
                                           : -1;
    if (out < 0) {
        perror("cannot open the output of a process");
        return false;
    }
    p->pid = fork();
    if (p->pid == 0) {
        run_program(p, program, args, out);
    }
    close(out);
    p->is_stopping = false;
    ev_child_init(&p->child, on_child, p->pid, 0);
    p->child.data = p;
    ev_child_start(s->loop, &p->child);
    if (!is_host) {
        fcntl(fds[0], F_SETFL, O_NONBLOCK);
        ev_io_init(&p->output, on_output, fds[0], EV_READ);
        p->output.data = p;
        ev_io_start(s->loop, &p->output);
    }
    return true;
}

/* Returns whether an upstream has exited and nothing refers to it any more. */
static bool is_done(const soak_t* s, const proc_t* p) {
    if (p->kind != PROC_UPSTREAM || p->pid || p->has_stale_entry || ev_is_active(&p->output) ||
        ev_is_active(&p->restart_timer) || soak_is_target(s, p)) {
        return false;
    }
    for (uint32_t i = 0; i < s->proc_count; i++) {
        if (s->procs[i].replaces == p) {
            return false;
        }
    }
    return true;
}

static proc_t* add_proc(soak_t* s, proc_kind_t kind) {
    uint32_t at = 0;
    while (at < s->proc_count && !is_done(s, &s->procs[at])) {
        at++;
    }
    if (at == SOAK_PROCS_MAX) {
        fprintf(stderr, "soak has more than %d processes\n", SOAK_PROCS_MAX);
        abort();
    }
    s->proc_count += at == s->proc_count;
    proc_t* p = &s->procs[at];
    *p = (proc_t){.soak = s, .kind = kind};
    return p;
}

static void launch_upstream(proc_t* p) {
    char slots[8];
    char version[16];
    bool is_engine = p->is_engine;
    const char* address = p->keeps_address ? p->replaces->address : "127.0.0.1:0";
    p->started_ms = standin_now_ms();
    snprintf(slots, sizeof(slots), "%d", is_engine ? ENGINE_SLOTS : SERVICE_SLOTS);
    p->version = p->soak->version;
    snprintf(version, sizeof(version), "%u", p->version);
    const char* const args[] = {"--id",
                                p->name,
                                "--version",
                                version,
                                "--slots",
                                slots,
                                "--address",
                                address,
                                "--runs",
                                is_engine ? "--prefill" : "--ms",
                                is_engine ? PREFILL_US_PER_TOKEN : SERVICE_MS,
                                NULL};
    launch(p, "fake-upstream", args);
}

void soak_start_upstream(soak_t* s, bool is_engine) {
    proc_t* p = add_proc(s, PROC_UPSTREAM);
    p->is_engine = is_engine;
    snprintf(p->name, sizeof(p->name), "%s%u", is_engine ? "e" : "v", ++s->name_count);
    launch_upstream(p);
}

static proc_t* add_successor(proc_t* previous) {
    proc_t before = *previous; /* its entry may become that of the successor */
    proc_t* p = add_proc(before.soak, PROC_UPSTREAM);
    p->is_engine = before.is_engine;
    p->replaces = before.is_ready ? previous : before.replaces;
    cw_copy(p->name, sizeof(p->name), before.name);
    return p;
}

void soak_restart_upstream(proc_t* previous) {
    launch_upstream(add_successor(previous));
}

void soak_restart_upstream_in_place(proc_t* previous) {
    proc_t* p = add_successor(previous);
    p->keeps_address = p->replaces != NULL;
    launch_upstream(p);
}

void soak_write_settings(const proc_t* p, uint32_t lookup_keep_ms) {
    const soak_t* s = p->soak;
    char path[128];
    snprintf(path, sizeof(path), "%s/%s.ini", s->dir, p->name);
    FILE* file = fopen(path, "w");
    if (!file) {
        perror(path);
        return;
    }
    static const char* const listen[] = {"callers", "ready", "lookup", "metrics", "peer", "load", "share"};
    fprintf(file, "[host]\nname = %s\nhall = a\n[listen]\n", p->name);
    for (int i = 0; i < 7; i++) {
        fprintf(file, "%s = %s:%d\n", listen[i], p->name, SOAK_CALLER_PORT + i);
    }
    fprintf(file, "[peers]\nseeds = %s.1:%d, %s.2:%d\n[source]\naddress = %s\ndrain = %dms\n", s->address_prefix,
            SOAK_CALLER_PORT + 4, s->address_prefix, SOAK_CALLER_PORT + 4, s->source->address, SOAK_DRAIN_MS);
    fprintf(file, "[service]\ngrace = %dms\nlookup_keep = %ums\nretry_ratio = 0.2\nretry_slack = 50\n", SOAK_GRACE_MS,
            lookup_keep_ms);
    fclose(file);
}

void soak_restart_host(proc_t* p) {
    char path[128];
    snprintf(path, sizeof(path), "%s/%s.ini", p->soak->dir, p->name);
    const char* const args[] = {"-c", path, NULL};
    soak_write_settings(p, 1000);
    p->suspended_total_ms = 0;
    soak_suspend_write(p);
    soak_record_event(p->soak, "started %s:%d", p->name, SOAK_CALLER_PORT);
    launch(p, "chalkway-gateway", args);
}

void soak_set_host_cut(const proc_t* p, bool is_cut) {
    if (is_cut) {
        soak_cut_network(p);
    } else {
        soak_restore_network(p);
    }
}

void soak_start_callers(soak_t* s) {
    proc_t* p = add_proc(s, PROC_CALLERS);
    char seed[24];
    char rate[24];
    char count[24];
    char qod_body_count_text[24];
    char qod_part_count_text[24];
    char addresses[MAX_ARGS][32];
    const char* args[MAX_ARGS + 1] = {
        "--seed",           seed, "--rate", rate, "--callers", count, "--deadly", qod_body_count_text, "--deadly-parts",
        qod_part_count_text};
    uint32_t n = 10;
    snprintf(seed, sizeof(seed), "%" PRIu64, s->seed);
    snprintf(rate, sizeof(rate), "%.1f", s->requests_per_s);
    snprintf(count, sizeof(count), "%u", s->caller_count);
    snprintf(qod_body_count_text, sizeof(qod_body_count_text), "%u", s->qod_body_count);
    snprintf(qod_part_count_text, sizeof(qod_part_count_text), "%u", s->qod_part_count);
    for (uint32_t i = 0; i < s->host_count && n < MAX_ARGS; i++) {
        snprintf(addresses[n], sizeof(addresses[n]), "%s.%u:%d", s->address_prefix, i + 1, LOOKUP_PORT);
        args[n] = addresses[n];
        n++;
    }
    cw_copy(p->name, sizeof(p->name), "callers");
    launch(p, "chalkway-soak-callers", args);
    s->caller_proc = p;
}

void soak_start_source(soak_t* s) {
    proc_t* source = add_proc(s, PROC_SOURCE);
    cw_copy(source->name, sizeof(source->name), "source");
    s->source = source;
    launch(source, "fake-source", (const char* const[]){NULL});
    while (!source->is_ready) {
        ev_run(s->loop, EVRUN_ONCE);
    }
}

void soak_start_host(soak_t* s, uint32_t i) {
    proc_t* p = add_proc(s, PROC_HOST);
    snprintf(p->name, sizeof(p->name), "%s.%u", s->address_prefix, i + 1);
    soak_restart_host(p);
}

void soak_format_proc_name(const proc_t* p, char* out, size_t size) {
    if (p->kind == PROC_HOST) {
        snprintf(out, size, "%s:%d", p->name, SOAK_CALLER_PORT);
    } else {
        cw_copy(out, size, p->name);
    }
}

void soak_kill_processes(soak_t* s) {
    for (uint32_t i = 0; i < s->proc_count; i++) {
        if (s->procs[i].pid) {
            kill(s->procs[i].pid, SIGKILL);
            waitpid(s->procs[i].pid, NULL, 0);
        }
    }
}
