/* Header fields that a caller must not set, and fields that the gateway can't parse. */
#include <ctype.h>

#include "../gateway/request_head.h"
#include "../platform/platform.h"
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":8000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/r/\","              \
    "\"kind\":\"repeatable\",\"timeout_ms\":5000,\"target_ms\":2000,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}]}"

#define OK "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 2\r\n\r\nok"

/* Fields of the platform by which the gateway instructs a server. */
static const char* const reserved_fields[] = {"Hold",     "Pin-Ms",         "Kv-Backup",        "Kv-From",
                                              "Kv-Fetch", "Expect-Version", "Request-Priority", "Expect-Instance",
                                              "Tenant"};

static void ignore_head(void* owner) {
    (void)owner;
}

static void change_case(char* out, const char* name, int spelling) {
    for (; *name; name++) {
        *out++ = (char)(spelling == 1 ? tolower(*name) : spelling == 2 ? toupper(*name) : *name);
    }
    *out = 0;
}

/* Writes the head that is forwarded for a request in which the caller sent the field twice. */
static void write_forwarded_head(cw_buffer_t* out, const char* field, const request_head_t* set) {
    static const cw_message_handlers_t handlers = {.on_head = ignore_head};
    cw_message_t m;
    char text[512];
    int size = snprintf(text, sizeof(text),
                        "POST /r/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n%s: forged\r\nModel: m\r\n"
                        "X-Own: 1\r\n%s: forged too\r\nContent-Length: 0\r\n\r\n",
                        field, field);
    cw_message_setup(&m, CW_MESSAGE_REQUEST, &handlers, NULL);
    cw_message_parse(&m, text, (size_t)size);
    ck_assert_int_eq(m.state, CW_MESSAGE_COMPLETE);
    request_head_write(out, &platform_dialect, &m, set);
    cw_message_shutdown(&m);
}

START_TEST(reserved_fields_of_a_caller_are_not_forwarded) {
    const request_head_t sets[] = {
        {.request_id = "q1", .server = "s1", .deadline_ms = 1000},
        {.request_id = "q1", .server = "s1", .deadline_ms = 1000, .last_event = "7"},
        {.request_id = "q1", .server = "s1", .deadline_ms = 1000, .fetch_from = "10.0.0.1:1", .has_priority = true}};
    for (size_t i = 0; i < sizeof(reserved_fields) / sizeof(reserved_fields[0]) * 9; i++) {
        char field[40];
        cw_buffer_t head = {0};
        change_case(field, reserved_fields[i / 9], (int)(i % 3));
        write_forwarded_head(&head, field, &sets[i / 3 % 3]);
        cw_buffer_add(&head, "", 1);
        ck_assert_msg(!strstr(head.data, "forged"), "%s is forwarded: %s", field, head.data);
        ck_assert(strstr(head.data, "X-Own: 1\r\n") && strstr(head.data, "Model: m\r\n"));
        cw_buffer_free(&head);
    }
}
END_TEST

typedef struct invalid_case_t {
    const char* fields;
    const char* field_name; /* named in the response */
} invalid_case_t;

START_TEST(unreadable_fields_are_rejected_by_name) {
    static const invalid_case_t cases[] = {
        {"Chalkway-Deadline-Ms: soon\r\n", "Chalkway-Deadline-Ms"},
        {"Chalkway-Deadline-Ms: -5\r\n", "Chalkway-Deadline-Ms"},
        {"Chalkway-Deadline-Ms: 100 000\r\n", "Chalkway-Deadline-Ms"},
        {"Chalkway-Deadline-Ms: nan\r\n", "Chalkway-Deadline-Ms"},
        {"Chalkway-Deadline-Ms: 100\r\nchalkway-deadline-ms: 9000\r\n", "Chalkway-Deadline-Ms"},
        {"Chalkway-Request-Id: q2\r\n", "Chalkway-Request-Id"},
        {"Authorization: Bearer a\r\nauthorization: Bearer b\r\n", "Authorization"},
        {"Chalkway-Tokens: many\r\n", "Chalkway-Tokens"},
        {"Chalkway-Tokens: 10,20,30\r\n", "Chalkway-Tokens"},
        {"Chalkway-Tokens: 99999999999999999999,1\r\n", "Chalkway-Tokens"},
        {"Chalkway-Tokens: 1,1\r\nChalkway-Tokens: 2,2\r\n", "Chalkway-Tokens"},
        {"Chalkway-Prompt-Parts: xyz:4\r\n", "Chalkway-Prompt-Parts"},
        {"Chalkway-Prompt-Parts: a1\r\n", "Chalkway-Prompt-Parts"},
        {"Chalkway-Prompt-Parts: a1:4,\r\n", "Chalkway-Prompt-Parts"},
        {"Chalkway-Prompt-Parts: a1:99999999999999999999\r\n", "Chalkway-Prompt-Parts"},
        {"Last-Event-Id: 1\r\nLast-Event-Id: 2\r\n", "Last-Event-Id"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char request[512];
        rig_t* r = rig_setup(ROUTES, 1);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK}}, 1);
        snprintf(request, sizeof(request), "GET /r/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\n%s\r\n",
                 cases[i].fields);
        const char* response = rig_call(r, request);
        ck_assert_msg(strncmp(response, "HTTP/1.1 400", 12) == 0, "%s: %s", cases[i].fields, response);
        ck_assert_msg(strstr(response, cases[i].field_name) != NULL, "%s: %s", cases[i].fields, response);
        ck_assert_uint_eq(r->arrival_count, 0);
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(unusual_but_valid_fields_are_forwarded_unchanged) {
    static const char* const fields[] = {"Chalkway-Deadline-Ms: 2500.5\r\n", "Chalkway-Tokens: 1460\r\n",
                                         "Chalkway-Tokens: 1460,80\r\n", "Chalkway-Prompt-Parts: A1:4,0b:2\r\n",
                                         "Chalkway-Prompt-Parts: 00112233445566778899aabbccddeeff:4\r\n"};
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        char request[512];
        rig_t* r = rig_setup(ROUTES, 1);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK}}, 1);
        snprintf(request, sizeof(request), "GET /r/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\n%s\r\n",
                 fields[i]);
        const char* response = rig_call(r, request);
        ck_assert_msg(strncmp(response, "HTTP/1.1 200", 12) == 0, "%s: %s", fields[i], response);
        ck_assert(i == 0 || strstr(r->arrivals[0], fields[i]));
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(a_blank_in_a_field_name_is_rejected) {
    static const char* const fields[] = {"Chalkway-Server : s9\r\n", "Chalkway Server: s9\r\n",
                                         "Content-Length : 4\r\n"};
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        char request[512];
        rig_t* r = rig_setup(ROUTES, 1);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK}}, 1);
        snprintf(request, sizeof(request), "GET /r/ HTTP/1.1\r\nHost: h.example\r\n%s\r\n", fields[i]);
        const char* response = rig_call(r, request);
        ck_assert_msg(strncmp(response, "HTTP/1.1 400", 12) == 0, "%s: %s", fields[i], response);
        ck_assert_uint_eq(r->arrival_count, 0);
        rig_shutdown(r);
    }
}
END_TEST

/* Part ids that are longer than 64 bits are distinguished. */
START_TEST(long_part_ids_are_distinguished) {
    static const cw_message_handlers_t handlers = {.on_head = ignore_head};
    static const char text[] = "GET /r/ HTTP/1.1\r\nPrefix-Hash: 00112233445566778899aa:4,00112233445566778899ab:4,"
                               "a1:4,00A1:4\r\n\r\n";
    cw_message_t m;
    cw_work_t work = {0};
    cw_message_setup(&m, CW_MESSAGE_REQUEST, &handlers, NULL);
    cw_message_parse(&m, text, sizeof(text) - 1);
    request_work_read(&work, &platform_dialect, &m);
    ck_assert_uint_eq(work.part_count, 4);
    ck_assert_uint_ne(work.parts[0].id, work.parts[1].id);
    ck_assert_uint_eq(work.parts[2].id, work.parts[3].id);
    cw_message_shutdown(&m);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, reserved_fields_of_a_caller_are_not_forwarded);
    tcase_add_test(t, unreadable_fields_are_rejected_by_name);
    tcase_add_test(t, unusual_but_valid_fields_are_forwarded_unchanged);
    tcase_add_test(t, a_blank_in_a_field_name_is_rejected);
    tcase_add_test(t, long_part_ids_are_distinguished);
}

int main(void) {
    return run_suite("edge", add_tests, 30);
}
