/* Connections to servers that are used for several requests. */
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\","        \
    "\"kind\":\"repeatable\",\"timeout_ms\":2000,\"target_ms\":1000,\"attempts\":1,\"open\":true,"                     \
    "\"pools\":[{\"pool\":\"p\"}]}]}"
#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\nChalkway-Request-Id: q\r\n\r\n"
#define RESPONSE "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 2\r\n\r\nok"

/* Owner of a connection, whose caller reads more slowly than the server sends. */
typedef struct owner_t {
    rig_t* rig;
    upstream_conn_t* conn;
    int complete;
} owner_t;

static void send_request(void* owner) {
    owner_t* o = owner;
    cw_buffer_t head = {0};
    cw_buffer_add(&head, REQUEST, strlen(REQUEST));
    upstream_conn_send(o->conn, "q", false, &head, NULL, 0);
    cw_buffer_free(&head);
}

static void on_head(void* owner, const cw_message_t* response) {
    (void)owner;
    (void)response;
}

static void on_body(void* owner, const char* data, size_t size) {
    (void)data;
    (void)size;
    upstream_conn_pause(((owner_t*)owner)->conn, true);
}

static void on_complete(void* owner) {
    owner_t* o = owner;
    o->complete++;
    upstream_conn_release(o->conn);
    ev_break(o->rig->loop, EVBREAK_ALL);
}

static void on_broken(void* owner, upstream_conn_failure_t failure) {
    (void)owner;
    ck_abort_msg("broken: %d", failure);
}

static const upstream_conn_handlers_t handlers = {.on_open = send_request,
                                                  .on_head = on_head,
                                                  .on_body = on_body,
                                                  .on_complete = on_complete,
                                                  .on_broken = on_broken};

/* Guards against a request that waits in vain for its response: the previous response on the connection had ended while
   its caller was slow, and nobody read from the connection any more. */
START_TEST(a_connection_is_read_again_after_a_slow_caller) {
    static const rig_step_t steps[] = {{RIG_RESPOND, RESPONSE}, {RIG_RESPOND, RESPONSE}, {RIG_RESPOND, RESPONSE}};
    rig_t* r = rig_setup(ROUTES, 1);
    rig_script(r, steps, 3);
    owner_t owner = {.rig = r};
    for (int i = 1; i <= 3; i++) {
        owner.conn = upstream_conn_acquire(upstreams_server(r->upstreams, cw_name_id("s0")), &handlers, &owner, false);
        ck_assert_ptr_nonnull(owner.conn);
        if (upstream_conn_is_open(owner.conn)) {
            send_request(&owner);
        }
        rig_run(r);
        ck_assert_int_eq(owner.complete, i);
    }
    ck_assert_uint_eq(r->conn_count, 1);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_connection_is_read_again_after_a_slow_caller);
}

int main(void) {
    return run_suite("upstream_conn", add_tests, 20);
}
